// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

/**
 * An endpoint's last report of its load, which lags behind.
 *
 * @param sequence the sequence number, which grows with each report of one incarnation
 * @param backlogTokens prompt tokens not yet prefilled, for each priority from 0 to 9
 * @param freeTokens cache memory not held by any stream, in tokens
 * @param streams the number of streams running or waiting
 * @param tokensPerSecond the engine's prefill speed without other work, in prompt tokens per second
 */
public record LoadReport(
    long sequence, long[] backlogTokens, long freeTokens, int streams, long tokensPerSecond) {
  /** Number of priorities. */
  public static final int PRIORITIES = 10;

  /** Returns the prompt tokens waiting at a priority or above it. */
  public long backlogFrom(int priority) {
    long sum = 0;
    for (int p = Math.max(0, priority); p < backlogTokens.length; p++) {
      sum += backlogTokens[p];
    }
    return sum;
  }
}
