// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;

/**
 * Bounds the retries to each target in every span of a length, over all daemons together: a daemon
 * uses its part of the reserve and what its own requests allow, and so needs to hear from nobody.
 */
public final class WindowRetryBudget implements RetryBudget {
  /** Spans of any position are kept, so that requests count only as old as half a window. */
  private static final int REQUESTS_WINDOW_PART = 2;

  private final double ratio;
  private final DoubleSupplier reserve;
  private final long windowMs;
  private final Map<RequestTarget, Sends> byTarget = new HashMap<>();

  /** When requests and retries were sent, oldest first. */
  private static final class Sends {
    final Deque<Long> first = new ArrayDeque<>();
    final Deque<Long> again = new ArrayDeque<>();
  }

  /**
   * Makes a budget.
   *
   * @param ratio retries allowed for one request
   * @param reserve tells how many retries of this daemon are allowed in any case
   * @param windowMs the length of the span, in milliseconds
   */
  public WindowRetryBudget(double ratio, DoubleSupplier reserve, long windowMs) {
    this.ratio = ratio;
    this.reserve = reserve;
    this.windowMs = windowMs;
  }

  @Override
  public void firstSend(RequestTarget target, long nowMs) {
    sends(target, nowMs).first.addLast(nowMs);
  }

  @Override
  public boolean tryRetry(RequestTarget target, long nowMs) {
    Sends sends = sends(target, nowMs);
    if (sends.again.size() + 1 > reserve.getAsDouble() + ratio * sends.first.size()) {
      return false;
    }
    sends.again.addLast(nowMs);
    return true;
  }

  private Sends sends(RequestTarget target, long nowMs) {
    Sends sends = byTarget.computeIfAbsent(target, key -> new Sends());
    forget(sends.first, nowMs - windowMs / REQUESTS_WINDOW_PART);
    forget(sends.again, nowMs - windowMs);
    return sends;
  }

  private static void forget(Deque<Long> times, long beforeMs) {
    while (!times.isEmpty() && times.peekFirst() < beforeMs) {
      times.removeFirst();
    }
  }
}
