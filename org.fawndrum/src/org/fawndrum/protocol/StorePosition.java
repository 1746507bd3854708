// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.protocol;

import java.util.Comparator;

/**
 * A position in a log of the platform's store. When the store is restored from an older copy, its
 * epoch rises and offsets are reused. An offset is therefore meaningful only together with its
 * epoch, and every position of a later epoch comes after all positions of an earlier one.
 * Immutable.
 *
 * @param epoch number of times the store was restored; 0 if the store does not report it, -1 before
 *     the first read
 * @param offset offset of a record, or the end of the log; -1 before the first read
 */
public record StorePosition(long epoch, long offset) implements Comparable<StorePosition> {
  /** Position before the first read. */
  public static final StorePosition NONE = new StorePosition(-1, -1);

  private static final Comparator<StorePosition> ORDER =
      Comparator.comparingLong(StorePosition::epoch).thenComparingLong(StorePosition::offset);

  @Override
  public int compareTo(StorePosition other) {
    return ORDER.compare(this, other);
  }

  /** Whether this position comes after another one. */
  public boolean isAfter(StorePosition other) {
    return compareTo(other) > 0;
  }

  /** Returns the later of two positions. */
  public StorePosition max(StorePosition other) {
    return other.isAfter(this) ? other : this;
  }

  /** Whether anything has been read. */
  public boolean isKnown() {
    return offset >= 0;
  }
}
