// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.List;

/**
 * Handles attempts that end without a whole answer: releases their resources, records the failure
 * of their endpoint where it is the cause, and decides whether to retry. Confined to the
 * coordinator's thread; times are those of the host's clock, in milliseconds.
 */
final class AttemptFailures {
  private final EngineWork work;
  private final RetryRule retryRule;
  private final DecisionRecorder decisionRecorder;
  private final List<Action> actions;

  AttemptFailures(
      EngineWork work,
      RetryRule retryRule,
      DecisionRecorder decisionRecorder,
      List<Action> actions) {
    this.work = work;
    this.retryRule = retryRule;
    this.decisionRecorder = decisionRecorder;
    this.actions = actions;
  }

  /** Handles a failed attempt. Returns why no retry may follow, or null if one may. */
  Reason failed(OpenRequest request, OpenRequest.Attempt attempt, AttemptEvent event, long nowMs) {
    recordFailure(request, attempt, event, nowMs);
    return retryRule.denialReason(request, attempt, event, nowMs);
  }

  /**
   * Handles an attempt that has stalled. Ends it if a retry may follow or if the caller has
   * received nothing yet. An answer that has begun continues if no retry may follow: a stall alone
   * is no reason to truncate what the endpoint may still be generating.
   *
   * @return why no retry may follow, or null if one may
   */
  Reason stalled(OpenRequest request, OpenRequest.Attempt attempt, long nowMs) {
    Reason denialReason = retryRule.denialReason(request, attempt, AttemptEvent.STALLED, nowMs);
    if (denialReason == null || !request.firstTokenSeen) {
      attempt.state = AttemptTransitions.next(attempt.state, AttemptEvent.STALLED);
      abandon(attempt, nowMs);
      recordFailure(request, attempt, AttemptEvent.STALLED, nowMs);
    }
    return denialReason;
  }

  /**
   * Ends an attempt because an endpoint that it depends on has restarted and lost it. Records no
   * failure: the incarnation that failed is gone, and the new one is not the cause.
   *
   * @return why no retry may follow, or null if one may
   */
  Reason endpointRestarted(OpenRequest request, OpenRequest.Attempt attempt, long nowMs) {
    attempt.state = AttemptTransitions.next(attempt.state, AttemptEvent.LOST);
    abandon(attempt, nowMs);
    Reason reason = Reason.ENDPOINT_RESTARTED;
    decisionRecorder.attempt(request, attempt, DecisionKind.ATTEMPT_FAILED, reason, nowMs);
    return retryRule.denialReason(request, attempt, AttemptEvent.LOST, nowMs);
  }

  private void recordFailure(
      OpenRequest request, OpenRequest.Attempt attempt, AttemptEvent event, long nowMs) {
    Reason reason =
        switch (event) {
          case ZONE_DRAINED -> Reason.ZONES_DRAINED;
          case NO_PATH, PATH_LOST -> Reason.NO_PATH;
          case STRAY_ANSWER -> Reason.STRAY_ANSWER;
          default -> Reason.ENDPOINT_FAILED;
        };
    decisionRecorder.attempt(request, attempt, DecisionKind.ATTEMPT_FAILED, reason, nowMs);
    if (attempt.failedHelper == null) {
      RefusalRules.recordEndpointFailure(request, attempt, event, nowMs);
    }
  }

  /** Releases what an abandoned attempt holds on this host and at its endpoint. */
  void abandon(OpenRequest.Attempt attempt, long nowMs) {
    attempt.endpoint.attemptEnded(attempt.id);
    work.attemptEnded(attempt, false, nowMs);
    actions.add(new Action.Cancel(attempt.id, attempt.endpoint.endpoint()));
  }
}
