// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.List;

/**
 * How attempts end without a whole answer: what they hold is freed, their endpoint is blamed where
 * due, and it is decided whether another attempt may follow. Confined to the coordinator's thread;
 * times are those of the host's clock, in milliseconds.
 */
final class AttemptEnds {
  private final EngineWork work;
  private final RetryRule retries;
  private final Explainer explainer;
  private final List<Action> out;

  AttemptEnds(EngineWork work, RetryRule retries, Explainer explainer, List<Action> out) {
    this.work = work;
    this.retries = retries;
    this.explainer = explainer;
    this.out = out;
  }

  /** Takes note that an attempt failed; returns why none may follow, or null when one may. */
  Reason failed(LiveRequest request, LiveRequest.Attempt attempt, AttemptEvent event, long nowMs) {
    showAndBlame(request, attempt, event, nowMs);
    return retries.whyNot(request, attempt, event, nowMs);
  }

  /**
   * Takes note that nothing comes from an attempt, and ends it if another may take its place or the
   * caller has nothing of its answer yet. An answer that has begun goes on where none may follow:
   * silence alone is no reason to break off what an endpoint may still be writing.
   *
   * @return why no other attempt may follow, or null when one may
   */
  Reason stalled(LiveRequest request, LiveRequest.Attempt attempt, long nowMs) {
    Reason whyNot = retries.whyNot(request, attempt, AttemptEvent.STALLED, nowMs);
    if (whyNot == null || !request.firstTokenSeen) {
      attempt.state = AttemptStates.after(attempt.state, AttemptEvent.STALLED);
      abandon(attempt, nowMs);
      showAndBlame(request, attempt, AttemptEvent.STALLED, nowMs);
    }
    return whyNot;
  }

  /**
   * Ends an attempt because an endpoint on which it hangs has started again and knows nothing of
   * it. Nobody is blamed: the start that failed is over, and the later one has done nothing.
   *
   * @return why no other attempt may follow, or null when one may
   */
  Reason restarted(LiveRequest request, LiveRequest.Attempt attempt, long nowMs) {
    attempt.state = AttemptStates.after(attempt.state, AttemptEvent.LOST);
    abandon(attempt, nowMs);
    Reason why = Reason.ENDPOINT_RESTARTED;
    explainer.attempt(request, attempt, DecisionKind.ATTEMPT_FAILED, why, nowMs);
    return retries.whyNot(request, attempt, AttemptEvent.LOST, nowMs);
  }

  private void showAndBlame(
      LiveRequest request, LiveRequest.Attempt attempt, AttemptEvent event, long nowMs) {
    explainer.attempt(request, attempt, DecisionKind.ATTEMPT_FAILED, Reason.ENDPOINT_FAILED, nowMs);
    if (attempt.helperAtFault == null) {
      EndRules.blame(request, attempt, event, nowMs);
    }
  }

  /** Frees what an attempt holds here and at its endpoint, because nobody waits for it any more. */
  void abandon(LiveRequest.Attempt attempt, long nowMs) {
    attempt.endpoint.ended(attempt.id);
    work.ended(attempt, false, nowMs);
    out.add(new Action.Cancel(attempt.id, attempt.endpoint.endpoint()));
  }
}
