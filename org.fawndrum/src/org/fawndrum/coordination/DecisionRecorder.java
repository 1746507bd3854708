// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.List;
import org.fawndrum.state.CellKey;
import org.fawndrum.state.Column;

/** Emits a {@link Decision} record for each decision on a request. */
final class DecisionRecorder {
  private final List<Action> actions;

  DecisionRecorder(List<Action> actions) {
    this.actions = actions;
  }

  void admitted(RequestFacts facts, long nowMs) {
    emit(new DecisionBuilder(facts, nowMs, DecisionKind.ADMITTED, Reason.WITHIN_LIMITS));
  }

  /** Records that a request waits; once for the endpoints' load and once for their rates. */
  void waiting(OpenRequest request, List<PassedOverEndpoint> limited, long nowMs) {
    Reason reason = limited.isEmpty() ? Reason.ENDPOINTS_BUSY : Reason.ENDPOINTS_LIMITED;
    if (request.recordedWaits.add(reason)) {
      RequestFacts facts = request.facts;
      emit(new DecisionBuilder(facts, nowMs, DecisionKind.WAITING, reason).passedOver(limited));
    }
  }

  void placed(OpenRequest request, Placement.Choice choice, int attempt, long nowMs) {
    Reason reason = attempt > 1 ? Reason.ENDPOINT_FAILED : choice.reason();
    emit(
        new DecisionBuilder(request.facts, nowMs, DecisionKind.PLACED, reason)
            .attempt(choice.state(), attempt)
            .cell(new CellKey(request.facts.group(), Column.SHARE))
            .passedOver(choice.passedOver())
            .prefill(choice.prefill()));
  }

  void firstToken(OpenRequest request, OpenRequest.Attempt attempt, long nowMs) {
    emit(
        new DecisionBuilder(request.facts, nowMs, DecisionKind.FIRST_TOKEN, Reason.COMPLETE)
            .attempt(attempt.endpoint, attempt.id.number())
            .prefill(
                attempt.prefill.map(prefill -> prefill.withFirstToken(nowMs - attempt.sentMs))));
  }

  void attempt(
      OpenRequest request,
      OpenRequest.Attempt attempt,
      DecisionKind kind,
      Reason reason,
      long nowMs) {
    emit(
        new DecisionBuilder(request.facts, nowMs, kind, reason)
            .attempt(attempt.endpoint, attempt.id.number()));
  }

  void refused(RequestFacts facts, Refusal refusal, Reason reason, long nowMs) {
    emit(new DecisionBuilder(facts, nowMs, DecisionKind.REFUSED, reason).refusal(refusal));
  }

  private void emit(DecisionBuilder decision) {
    actions.add(new Action.RecordDecision(decision.build()));
  }
}
