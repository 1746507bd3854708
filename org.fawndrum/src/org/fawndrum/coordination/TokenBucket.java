// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

/**
 * A rate limiter that refills at a steady rate up to a burst. Confined to one thread. The time is
 * passed to each call; a time before the last one counts as the last one.
 */
public final class TokenBucket {
  private static final double MS_PER_SECOND = 1000.0;

  private double perSecond;
  private double burst;
  private double level;
  private long lastMs;

  /**
   * Creates a full bucket.
   *
   * @param perSecond the refill rate per second
   * @param burst the capacity
   * @param nowMs the time, in milliseconds
   */
  public TokenBucket(double perSecond, double burst, long nowMs) {
    this.perSecond = perSecond;
    this.burst = burst;
    this.level = burst;
    this.lastMs = nowMs;
  }

  /** Returns a bucket that holds nothing, and gets its rate and capacity later. */
  public static TokenBucket empty(long nowMs) {
    return new TokenBucket(0, 0, nowMs);
  }

  /** Changes the rate and the capacity. The level is kept, up to the new capacity. */
  public void resize(double newPerSecond, double newBurst, long nowMs) {
    fill(nowMs);
    perSecond = newPerSecond;
    burst = newBurst;
    level = Math.min(level, burst);
  }

  /**
   * Takes an amount if the level covers it or the bucket is full. An amount above the capacity
   * leaves the level negative, so that the average rate holds for large amounts too.
   *
   * @return whether it was taken
   */
  public boolean tryTake(double amount, long nowMs) {
    fill(nowMs);
    if (level < Math.min(amount, burst)) {
      return false;
    }
    level -= amount;
    return true;
  }

  /** Puts back an amount that was taken and not used. */
  public void refund(double amount) {
    level = Math.min(burst, level + amount);
  }

  /** Returns the time until an amount can be taken, in milliseconds. */
  public long waitMs(double amount, long nowMs) {
    fill(nowMs);
    double missing = Math.min(amount, burst) - level;
    if (missing <= 0) {
      return 0;
    }
    return (long) Math.ceil(missing / perSecond * MS_PER_SECOND);
  }

  private void fill(long nowMs) {
    if (nowMs <= lastMs) {
      return;
    }
    level = Math.min(burst, level + perSecond * (nowMs - lastMs) / MS_PER_SECOND);
    lastMs = nowMs;
  }
}
