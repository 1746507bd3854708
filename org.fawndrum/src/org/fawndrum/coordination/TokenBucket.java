// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

/**
 * A limit on a rate: it fills at a steady rate up to a burst and is emptied by use. Confined to one
 * thread. Time comes in with each call and never runs backwards; an earlier time is taken as the
 * last one seen.
 */
public final class TokenBucket {
  private static final double MS_PER_SECOND = 1000.0;

  private double perSecond;
  private double burst;
  private double level;
  private long lastMs;

  /**
   * Makes a full bucket.
   *
   * @param perSecond the rate at which it fills
   * @param burst the most that it holds
   * @param nowMs the time
   */
  public TokenBucket(double perSecond, double burst, long nowMs) {
    this.perSecond = perSecond;
    this.burst = burst;
    this.level = burst;
    this.lastMs = nowMs;
  }

  /** Changes rate and burst; what is in the bucket stays, up to the new burst. */
  public void resize(double newPerSecond, double newBurst, long nowMs) {
    fill(nowMs);
    perSecond = newPerSecond;
    burst = newBurst;
    level = Math.min(level, burst);
  }

  /**
   * Takes an amount if the bucket is not in debt. One call may take more than the burst: the bucket
   * then goes into debt, so that the rate holds on the long run also for large amounts.
   *
   * @return whether it was taken
   */
  public boolean take(double amount, long nowMs) {
    fill(nowMs);
    if (level < Math.min(amount, burst)) {
      return false;
    }
    level -= amount;
    return true;
  }

  /** Puts back what was taken for something that did not happen. */
  public void giveBack(double amount) {
    level = Math.min(burst, level + amount);
  }

  /** Returns after how many milliseconds an amount can be taken. */
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
