// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

/**
 * Performance figures of a service's model engines, as configured by the operators. Prefill is the
 * processing of a prompt, decoding the generation of an answer.
 *
 * @param slots number of streams that one engine runs concurrently
 * @param memoryTokens cache memory of one engine, in tokens
 * @param stepsPerIteration token steps in one iteration of the batch loop while any stream decodes
 * @param stepMs duration of one token step, in milliseconds
 * @param stepMsPerStream time that each decoding stream adds to a step, in milliseconds
 * @param stepMsPerThousandTokens time that 1,000 tokens of a decoding stream's context add to a
 *     step, in milliseconds
 * @param prefillTokensPerMs prefill throughput, in prompt tokens per millisecond
 * @param prefillMsPerMillionPairs prefill time for a million pairs of a token and an earlier one,
 *     in milliseconds
 * @param chunkTokens maximum number of prompt tokens prefilled in one step
 * @param hopMs time that each further engine adds to a step of a prompt on several engines, in
 *     milliseconds
 */
public record EngineProfile(
    int slots,
    long memoryTokens,
    int stepsPerIteration,
    double stepMs,
    double stepMsPerStream,
    double stepMsPerThousandTokens,
    double prefillTokensPerMs,
    double prefillMsPerMillionPairs,
    int chunkTokens,
    double hopMs) {
  private static final double ONE_MILLION = 1e6;
  private static final double ONE_THOUSAND = 1000.0;

  /** Returns the time that one engine needs to prefill a whole prompt, in milliseconds. */
  public double prefillMs(long promptTokens) {
    double pairs = promptTokens / 2.0 * promptTokens;
    return promptTokens / prefillTokensPerMs + pairs / ONE_MILLION * prefillMsPerMillionPairs;
  }

  /**
   * Returns the duration of one iteration without any prefill, in milliseconds.
   *
   * @param streams number of decoding streams
   * @param contextTokens sum of their contexts, in tokens
   */
  public double iterationMs(int streams, long contextTokens) {
    double step =
        stepMs + streams * stepMsPerStream + contextTokens / ONE_THOUSAND * stepMsPerThousandTokens;
    return stepsPerIteration * step;
  }
}
