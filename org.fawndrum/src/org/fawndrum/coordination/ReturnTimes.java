// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.HashMap;
import java.util.Map;

/**
 * Spreads the times at which refused callers return: one after the other, at the pace at which this
 * host may expect to send their requests. Confined to one thread. Times are those of the host's
 * clock, in milliseconds.
 */
final class ReturnTimes {
  /**
   * How much later than the first a refused caller is asked to return at most, in milliseconds:
   * most do not wait longer, and so many that return later would find the endpoints idle.
   */
  static final long MAX_SPREAD_MS = 5_000;

  private final Map<RequestTarget, Long> lastMs = new HashMap<>();

  /**
   * Returns when a caller that is refused now should return.
   *
   * @param availableMs when the first of them could be served
   * @param gapMs the time after which the next one could be
   */
  long next(RequestTarget target, long availableMs, long gapMs) {
    long nextMs = Math.max(availableMs, lastMs.getOrDefault(target, Long.MIN_VALUE / 2) + gapMs);
    long returnMs = nextMs > availableMs + MAX_SPREAD_MS ? availableMs : nextMs;
    lastMs.put(target, returnMs);
    return returnMs;
  }
}
