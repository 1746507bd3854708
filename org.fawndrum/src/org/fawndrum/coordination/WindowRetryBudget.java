// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;

/**
 * Limits the retries to each target within every time window, over all daemons together. Each
 * daemon uses its part of the reserve plus a ratio of its own requests, so that no coordination is
 * needed.
 */
public final class WindowRetryBudget implements RetryBudget {
  /** The limit must hold for a window at any position, so requests count for half a window only. */
  private static final int REQUEST_WINDOW_DIVISOR = 2;

  private final double ratio;
  private final DoubleSupplier reserve;
  private final long windowMs;
  private final Map<RequestTarget, Sends> byTarget = new HashMap<>();

  /** Times of first sends and retries, oldest first. */
  private static final class Sends {
    final Deque<Long> firstSends = new ArrayDeque<>();
    final Deque<Long> retries = new ArrayDeque<>();
  }

  /**
   * Creates a budget.
   *
   * @param ratio the number of retries allowed for each request
   * @param reserve provides the number of retries always allowed to this daemon
   * @param windowMs the length of the window, in milliseconds
   */
  public WindowRetryBudget(double ratio, DoubleSupplier reserve, long windowMs) {
    this.ratio = ratio;
    this.reserve = reserve;
    this.windowMs = windowMs;
  }

  @Override
  public void recordFirstSend(RequestTarget target, long nowMs) {
    sends(target, nowMs).firstSends.addLast(nowMs);
  }

  @Override
  public boolean tryRetry(RequestTarget target, long nowMs) {
    Sends sends = sends(target, nowMs);
    if (sends.retries.size() + 1 > reserve.getAsDouble() + ratio * sends.firstSends.size()) {
      return false;
    }
    sends.retries.addLast(nowMs);
    return true;
  }

  private Sends sends(RequestTarget target, long nowMs) {
    Sends sends = byTarget.computeIfAbsent(target, key -> new Sends());
    removeBefore(sends.firstSends, nowMs - windowMs / REQUEST_WINDOW_DIVISOR);
    removeBefore(sends.retries, nowMs - windowMs);
    return sends;
  }

  private static void removeBefore(Deque<Long> times, long beforeMs) {
    while (!times.isEmpty() && times.peekFirst() < beforeMs) {
      times.removeFirst();
    }
  }
}
