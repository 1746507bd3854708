// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

/**
 * What an endpoint last said of its load; it lags behind.
 *
 * @param sequence grows with each report of one incarnation
 * @param backlogTokens prompt tokens not yet read, for each priority from 0 to 9
 * @param freeTokens cache memory that no stream holds, in tokens
 * @param streams streams running or waiting
 * @param tokensPerSecond prompt tokens that the engine reads a second when nothing else runs
 */
public record LoadReport(
    long sequence, long[] backlogTokens, long freeTokens, int streams, long tokensPerSecond) {
  /** The number of priorities. */
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
