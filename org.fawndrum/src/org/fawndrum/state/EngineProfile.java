// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

/**
 * How fast the model engines of a service read and write, by their operator's figures.
 *
 * @param slots streams that one engine works on at the same time
 * @param memoryTokens cache memory of one engine, in tokens
 * @param stepsPerPass token steps that an engine takes in one pass while anything writes
 * @param stepMs time of one token step, in milliseconds
 * @param stepMsPerStream what each writing stream adds to a step, in milliseconds
 * @param stepMsPerThousandTokens what 1,000 tokens of a writing stream's context add to a step
 * @param readTokensPerMs prompt tokens read in a millisecond
 * @param readMsPerMillionPairs reading time for a million pairs of a token and an earlier one
 * @param chunkTokens the most prompt tokens read in one step
 * @param hopMs what one more engine adds to a step of a prompt on several engines, in milliseconds
 */
public record EngineProfile(
    int slots,
    long memoryTokens,
    int stepsPerPass,
    double stepMs,
    double stepMsPerStream,
    double stepMsPerThousandTokens,
    double readTokensPerMs,
    double readMsPerMillionPairs,
    int chunkTokens,
    double hopMs) {
  private static final double PAIRS_PER_MILLION = 1e6;
  private static final double THOUSAND = 1000.0;

  /** Returns the time that one engine needs to read a whole prompt, in milliseconds. */
  public double readMs(long promptTokens) {
    double pairs = promptTokens / 2.0 * promptTokens;
    return promptTokens / readTokensPerMs + pairs / PAIRS_PER_MILLION * readMsPerMillionPairs;
  }

  /**
   * Returns the time of one pass in which nothing is read, in milliseconds.
   *
   * @param streams writing streams
   * @param contextTokens the sum of their contexts
   */
  public double passMs(int streams, long contextTokens) {
    double step =
        stepMs + streams * stepMsPerStream + contextTokens / THOUSAND * stepMsPerThousandTokens;
    return stepsPerPass * step;
  }
}
