// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.once;

import org.fawndrum.state.CallerGroup;

/**
 * Identifies a request that must not be repeated.
 *
 * @param group the caller group that chose the key
 * @param key the caller's Idempotency-Key
 */
public record ClaimKey(CallerGroup group, String key) {
  private static final char SEPARATOR = '|';

  /** Parses the result of {@link #toString}; returns null if the text has another form. */
  public static ClaimKey parse(String text) {
    int at = text.indexOf(SEPARATOR);
    CallerGroup group = at < 0 ? null : CallerGroup.parse(text.substring(0, at));
    return group == null ? null : new ClaimKey(group, text.substring(at + 1));
  }

  @Override
  public String toString() {
    return group.toString() + SEPARATOR + key;
  }
}
