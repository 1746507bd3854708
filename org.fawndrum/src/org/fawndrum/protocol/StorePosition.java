// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.protocol;

import java.util.Comparator;

/**
 * A place in a log of the platform's store. The store may come back from a copy of itself; its era
 * rises then, and offsets are given out again. So an offset says something only with its era, and
 * every offset of a later era comes after all of an earlier one. Immutable.
 *
 * @param era counts how often the store went back; 0 where it does not tell it, -1 before anything
 *     was read
 * @param offset the offset of a record, or the end of the log; -1 before anything was read
 */
public record StorePosition(long era, long offset) implements Comparable<StorePosition> {
  /** Before anything was read. */
  public static final StorePosition NONE = new StorePosition(-1, -1);

  private static final Comparator<StorePosition> ORDER =
      Comparator.comparingLong(StorePosition::era).thenComparingLong(StorePosition::offset);

  @Override
  public int compareTo(StorePosition other) {
    return ORDER.compare(this, other);
  }

  /** Tells whether this comes after another place. */
  public boolean isAfter(StorePosition other) {
    return compareTo(other) > 0;
  }

  /** Returns the later of two places. */
  public StorePosition max(StorePosition other) {
    return other.isAfter(this) ? other : this;
  }

  /** Tells whether anything was read. */
  public boolean isKnown() {
    return offset >= 0;
  }
}
