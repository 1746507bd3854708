// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.List;
import org.fawndrum.state.CellKey;
import org.fawndrum.state.Column;

/** Shows each decision with a record. */
final class Explainer {
  private final List<Action> out;

  Explainer(List<Action> out) {
    this.out = out;
  }

  void admitted(RequestFacts facts, long nowMs) {
    show(new DecisionBuilder(facts, nowMs, DecisionKind.ADMITTED, Reason.WITHIN_LIMITS));
  }

  void waiting(LiveRequest request, long nowMs) {
    if (request.shownWaiting) {
      return;
    }
    request.shownWaiting = true;
    RequestFacts facts = request.facts;
    show(new DecisionBuilder(facts, nowMs, DecisionKind.WAITING, Reason.ENDPOINTS_BUSY));
  }

  void placed(LiveRequest request, Placement.Choice choice, int attempt, long nowMs) {
    Reason reason = attempt > 1 ? Reason.ENDPOINT_FAILED : choice.reason();
    show(
        new DecisionBuilder(request.facts, nowMs, DecisionKind.PLACED, reason)
            .attempt(choice.state(), attempt)
            .cell(new CellKey(request.facts.group(), Column.SHARE))
            .passedOver(choice.passedOver())
            .reading(choice.reading()));
  }

  void firstToken(LiveRequest request, LiveRequest.Attempt attempt, long nowMs) {
    show(
        new DecisionBuilder(request.facts, nowMs, DecisionKind.FIRST_TOKEN, Reason.COMPLETE)
            .attempt(attempt.endpoint, attempt.id.number())
            .reading(attempt.reading.map(reading -> reading.took(nowMs - attempt.sentMs))));
  }

  void attempt(
      LiveRequest request, LiveRequest.Attempt attempt, DecisionKind kind, Reason why, long nowMs) {
    show(
        new DecisionBuilder(request.facts, nowMs, kind, why)
            .attempt(attempt.endpoint, attempt.id.number()));
  }

  void refused(RequestFacts facts, Refusal refusal, Reason why, long nowMs) {
    show(new DecisionBuilder(facts, nowMs, DecisionKind.REFUSED, why).refusal(refusal));
  }

  private void show(DecisionBuilder decision) {
    out.add(new Action.Explain(decision.build()));
  }
}
