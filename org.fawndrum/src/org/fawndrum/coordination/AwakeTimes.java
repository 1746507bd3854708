// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

/**
 * When a host last was awake, from looks that come regularly while it is. What is handled just
 * after a host stood still may have come at any moment since: an order to stop counts from when it
 * was given, not from when it was handled. Safe for all threads; times are those of the host's
 * clock, in milliseconds.
 */
public final class AwakeTimes {
  /** By how much a look may be late on a busy machine, in milliseconds. */
  private static final long LATE_MS = 300;

  /** How long after the host went on something that had come before is handled at the latest. */
  private static final long HANDLED_MS = 100;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final long everyMs;
  private long lookedMs = NEVER;
  private long stillFromMs;
  private long stillUntilMs = NEVER;

  /**
   * Makes times of a host that has not looked yet.
   *
   * @param everyMs the time between two looks, in milliseconds
   */
  public AwakeTimes(long everyMs) {
    this.everyMs = everyMs;
  }

  /** Takes note of a look. */
  public synchronized void looked(long nowMs) {
    if (stoodStill(nowMs)) {
      stillFromMs = lookedMs;
      stillUntilMs = nowMs;
    }
    lookedMs = nowMs;
  }

  private boolean stoodStill(long nowMs) {
    return lookedMs != NEVER && nowMs - lookedMs > everyMs + LATE_MS;
  }

  /** Returns when something that is handled now may have come at the earliest. */
  public synchronized long earliestMs(long nowMs) {
    if (stoodStill(nowMs)) {
      return lookedMs;
    }
    return nowMs - stillUntilMs <= HANDLED_MS ? stillFromMs : nowMs;
  }
}
