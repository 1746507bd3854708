// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

/**
 * Detects pauses of the process from regular ticks. An event handled just after a pause may have
 * arrived at any time during it: the grace period of a stop order starts when the order was sent,
 * not when it was handled. Thread-safe; times are those of the host's clock, in milliseconds.
 */
public final class PauseDetector {
  /** Maximum delay of a tick on a busy machine that does not count as a pause, in milliseconds. */
  private static final long MAX_TICK_DELAY_MS = 300;

  /**
   * Maximum time after a pause until events that arrived during it are handled, in milliseconds.
   */
  private static final long BACKLOG_AFTER_PAUSE_MS = 100;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final long tickIntervalMs;
  private long lastTickMs = NEVER;
  private long pauseStartMs;
  private long pauseEndMs = NEVER;

  /**
   * Creates a detector that has seen no tick.
   *
   * @param tickIntervalMs the interval between ticks, in milliseconds
   */
  public PauseDetector(long tickIntervalMs) {
    this.tickIntervalMs = tickIntervalMs;
  }

  /** Records a tick. */
  public synchronized void recordTick(long nowMs) {
    if (pausedSinceLastTick(nowMs)) {
      pauseStartMs = lastTickMs;
      pauseEndMs = nowMs;
    }
    lastTickMs = nowMs;
  }

  private boolean pausedSinceLastTick(long nowMs) {
    return lastTickMs != NEVER && nowMs - lastTickMs > tickIntervalMs + MAX_TICK_DELAY_MS;
  }

  /** Returns the earliest time at which an event handled now may have arrived. */
  public synchronized long earliestArrivalMs(long nowMs) {
    if (pausedSinceLastTick(nowMs)) {
      return lastTickMs;
    }
    return nowMs - pauseEndMs <= BACKLOG_AFTER_PAUSE_MS ? pauseStartMs : nowMs;
  }
}
