// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.internal.log;

/**
 * Bounds how many lines of one kind are written a second, and counts those left out. Safe for all
 * threads.
 */
public final class LineBudget {
  private static final long MS_PER_SECOND = 1_000;

  private final int linesPerSecond;
  private long second = Long.MIN_VALUE;
  private int written;
  private long leftOut;

  /** Makes a budget of so many lines in each second. */
  public LineBudget(int linesPerSecond) {
    this.linesPerSecond = linesPerSecond;
  }

  /** Takes a line; returns whether it may be written. */
  public synchronized boolean take(long nowMs) {
    long now = nowMs / MS_PER_SECOND;
    if (now != second) {
      second = now;
      written = 0;
    }
    if (written < linesPerSecond) {
      written++;
      return true;
    }
    leftOut++;
    return false;
  }

  /** Returns how many lines were left out since the last call. */
  public synchronized long takeLeftOut() {
    long count = leftOut;
    leftOut = 0;
    return count;
  }
}
