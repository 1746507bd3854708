// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.List;
import org.fawndrum.coordination.crash.RequestContent;
import org.fawndrum.state.CallerGroup;
import org.fawndrum.state.LatencyTargets;

/**
 * The properties of a request that decisions are based on.
 *
 * @param requestId the unique id
 * @param group the caller group, from the caller's key
 * @param target the model or service requested
 * @param promptTokens the estimated length of the prompt in tokens; 0 for a plain call
 * @param answerTokens the maximum length of the answer in tokens; 0 for a plain call
 * @param arrivedMs when it arrived, in milliseconds of the host's clock
 * @param callerTimeoutMs the caller's own timeout in milliseconds; 0 if it has none
 * @param repeatable whether it may be sent again after an unknown outcome
 * @param prefixes hashes of the prompt's leading blocks, shortest first, for cache affinity
 * @param latencyTargets the latency targets and the attempt limit, if its route has any
 * @param content the content, for the comparison with other requests
 */
public record RequestFacts(
    String requestId,
    CallerGroup group,
    RequestTarget target,
    long promptTokens,
    long answerTokens,
    long arrivedMs,
    long callerTimeoutMs,
    boolean repeatable,
    List<Long> prefixes,
    LatencyTargets latencyTargets,
    RequestContent content) {
  /** Copies the prefixes to keep the record immutable. */
  public RequestFacts {
    prefixes = List.copyOf(prefixes);
  }

  /** Creates the facts of a request that is not compared with others. */
  public RequestFacts(
      String requestId,
      CallerGroup group,
      RequestTarget target,
      long promptTokens,
      long answerTokens,
      long arrivedMs,
      long callerTimeoutMs,
      boolean repeatable,
      List<Long> prefixes,
      LatencyTargets latencyTargets) {
    this(
        requestId,
        group,
        target,
        promptTokens,
        answerTokens,
        arrivedMs,
        callerTimeoutMs,
        repeatable,
        prefixes,
        latencyTargets,
        RequestContent.UNKNOWN);
  }

  /** Creates the facts of a request without latency targets. */
  public RequestFacts(
      String requestId,
      CallerGroup group,
      RequestTarget target,
      long promptTokens,
      long answerTokens,
      long arrivedMs,
      long callerTimeoutMs,
      boolean repeatable,
      List<Long> prefixes) {
    this(
        requestId,
        group,
        target,
        promptTokens,
        answerTokens,
        arrivedMs,
        callerTimeoutMs,
        repeatable,
        prefixes,
        LatencyTargets.NONE);
  }

  /** Returns the work of the request in tokens: those to prefill and those to generate. */
  public long workTokens() {
    return Math.max(1, promptTokens + answerTokens);
  }
}
