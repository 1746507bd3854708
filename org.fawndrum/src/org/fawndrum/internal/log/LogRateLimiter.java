// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.internal.log;

/**
 * Rate limiter for log lines of one kind: allows a maximum number of lines in each second and
 * counts the suppressed ones. Safe for all threads.
 */
public final class LogRateLimiter {
  private static final long MS_PER_SECOND = 1_000;

  private final int linesPerSecond;
  private long currentSecond = Long.MIN_VALUE;
  private int written;
  private long suppressed;

  /** Creates a limiter that allows {@code linesPerSecond} lines in each second of the clock. */
  public LogRateLimiter(int linesPerSecond) {
    this.linesPerSecond = linesPerSecond;
  }

  /** Returns whether a line may be written now; a line that may not is counted as suppressed. */
  public synchronized boolean tryAcquire(long nowMs) {
    long second = nowMs / MS_PER_SECOND;
    if (second != currentSecond) {
      currentSecond = second;
      written = 0;
    }
    if (written < linesPerSecond) {
      written++;
      return true;
    }
    suppressed++;
    return false;
  }

  /** Returns the number of lines suppressed since the last call and resets it. */
  public synchronized long takeSuppressed() {
    long count = suppressed;
    suppressed = 0;
    return count;
  }
}
