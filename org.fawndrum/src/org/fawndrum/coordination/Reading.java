// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.List;

/**
 * How a prompt is read: by which engines, and when its first token was expected and came.
 *
 * @param engines the names of all that read a part; the one that writes the answer first
 * @param expectedMs when the first token was expected, in milliseconds after the sending
 * @param tookMs when it came, in the same measure; {@link #NOT_YET} before that
 */
public record Reading(List<String> engines, long expectedMs, long tookMs) {
  /** The time of a first token that has not come. */
  public static final long NOT_YET = -1;

  /** Copies the list, so that the reading cannot change. */
  public Reading {
    engines = List.copyOf(engines);
  }

  /** Returns the same reading with its first token. */
  Reading took(long afterMs) {
    return new Reading(engines, expectedMs, afterMs);
  }

  /** Returns by how much the first token came later than expected; negative when sooner. */
  public long laterMs() {
    return tookMs - expectedMs;
  }
}
