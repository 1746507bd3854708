// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import org.fawndrum.state.Endpoint;

/** What the decisions ask the layers around them to do. */
public sealed interface Action {
  /**
   * Send a request to an endpoint.
   *
   * @param attempt the attempt
   * @param endpoint where to
   * @param priority for the engine, 0 to 9
   * @param deadlineMs when the request must have ended, in milliseconds of the host's clock
   */
  record Send(AttemptId attempt, Endpoint endpoint, int priority, long deadlineMs)
      implements Action {}

  /** Tell an endpoint that nobody waits for an attempt any more, and free what it holds. */
  record Cancel(AttemptId attempt, Endpoint endpoint) implements Action {}

  /** Give the caller its final answer, which is not a whole one. */
  record Refuse(String requestId, Refusal refusal) implements Action {}

  /** Show a decision. */
  record Explain(Decision decision) implements Action {}
}
