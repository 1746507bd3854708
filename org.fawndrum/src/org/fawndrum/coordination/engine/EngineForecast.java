// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.engine;

import java.util.List;

/**
 * A forecast of the load of an engine at one instant, from which the effect of additional work is
 * estimated. Times are in milliseconds from that instant.
 *
 * @param iterationRemainingMs the remaining time of the current iteration
 * @param preemptible whether a segment of a shared prompt would start at once
 * @param overdueMs by how much the engine is behind the model
 * @param decodeStepsMs the time of the decode steps of an iteration with at least one decoding
 *     stream; an engine that only prefills does not spend it
 * @param waiting the work that waits for the next iteration and later ones
 * @param sharedMs the remaining prefill time of all segments of shared prompts
 * @param maxPrefillTokens the maximum number of tokens prefilled per iteration while streams decode
 * @param slowness the ratio of the actual time to the time in the profile, at least 1
 * @param streams the streams that decode there now or later
 * @param shortStreams those of them whose prompts are short
 * @param helperSegments the segments that it still has to prefill for other engines
 * @param unpausedStreams the decoding streams that have not exceeded their maximum pause yet
 * @param pendingPrefills the prompts and segments that are not prefilled yet
 */
record EngineForecast(
    double iterationRemainingMs,
    boolean preemptible,
    double overdueMs,
    double decodeStepsMs,
    PrefillWork waiting,
    double sharedMs,
    long maxPrefillTokens,
    double slowness,
    int streams,
    int shortStreams,
    int helperSegments,
    List<EngineJob> unpausedStreams,
    List<PendingPrefill> pendingPrefills) {
  /** A number of tokens to prefill, and the time that it takes. */
  record PrefillWork(double ms, long tokens) {
    PrefillWork plus(PrefillWork more) {
      return new PrefillWork(ms + more.ms, tokens + more.tokens);
    }
  }

  /**
   * A prompt or segment that is not prefilled yet.
   *
   * @param inIteration whether the current iteration completes it
   * @param firstTokenMs when its first token is expected, in milliseconds after it was sent
   */
  record PendingPrefill(EngineJob job, boolean inIteration, double firstTokenMs) {}

  /** Returns how long streams pause in the next iteration with the work that waits now. */
  double pauseMs() {
    return cappedMs(waiting) + decodeStepsMs;
  }

  /** Returns how long streams pause in the next iteration with one more segment. */
  double pauseMs(PrefillWork segment) {
    return cappedMs(waiting.plus(segment)) + decodeStepsMs;
  }

  private double cappedMs(PrefillWork work) {
    return work.tokens <= maxPrefillTokens ? work.ms : work.ms * maxPrefillTokens / work.tokens;
  }

  /** Returns when a prompt that is sent to this engine alone has its first token. */
  double singleEngineMs(PrefillWork prompt) {
    return iterationRemainingMs + overdueMs + waiting.ms + prompt.ms + decodeStepsMs;
  }

  /**
   * Returns when a segment that is sent now is prefilled, including the decode steps that generate
   * the first token.
   */
  double sharedMs(PrefillWork segment) {
    double beforeMs = preemptible ? 0 : iterationRemainingMs + overdueMs + cappedMs(waiting);
    return beforeMs + segment.ms + decodeStepsMs;
  }

  /** Returns the same for a segment that is sent once the earlier segments are prefilled. */
  double deferredMs(PrefillWork segment) {
    return Math.max(sharedMs, preemptible ? 0 : iterationRemainingMs)
        + overdueMs
        + segment.ms
        + decodeStepsMs;
  }
}
