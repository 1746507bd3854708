// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.List;
import java.util.Optional;
import org.fawndrum.state.CellKey;
import org.fawndrum.state.Column;

/** Builds the records that show each decision. */
final class Explainer {
  private final List<Action> out;

  Explainer(List<Action> out) {
    this.out = out;
  }

  void admitted(RequestFacts facts, long nowMs) {
    show(facts, nowMs, DecisionKind.ADMITTED, Reason.WITHIN_LIMITS);
  }

  void waiting(RequestFacts facts, long nowMs) {
    show(facts, nowMs, DecisionKind.WAITING, Reason.ENDPOINTS_BUSY);
  }

  void placed(LiveRequest request, Placement.Choice choice, int attempt, long nowMs) {
    Reason reason = attempt > 1 ? Reason.ENDPOINT_FAILED : choice.reason();
    CellKey weight = new CellKey(request.facts.group(), Column.SHARE);
    out.add(
        new Action.Explain(
            decision(
                request.facts,
                nowMs,
                DecisionKind.PLACED,
                reason,
                Optional.of(choice.state().endpoint().name()),
                attempt,
                Optional.of(weight),
                Optional.empty(),
                choice.passedOver(),
                choice.reading())));
  }

  void firstToken(LiveRequest request, LiveRequest.Attempt attempt, long nowMs) {
    out.add(
        new Action.Explain(
            decision(
                request.facts,
                nowMs,
                DecisionKind.FIRST_TOKEN,
                Reason.COMPLETE,
                Optional.of(attempt.endpoint.endpoint().name()),
                attempt.id.number(),
                Optional.empty(),
                Optional.empty(),
                List.of(),
                attempt.reading.map(reading -> reading.took(nowMs - attempt.sentMs)))));
  }

  void attempt(
      LiveRequest request, LiveRequest.Attempt attempt, DecisionKind kind, Reason why, long nowMs) {
    out.add(
        new Action.Explain(
            decision(
                request.facts,
                nowMs,
                kind,
                why,
                Optional.of(attempt.endpoint.endpoint().name()),
                attempt.id.number(),
                Optional.empty(),
                Optional.empty(),
                List.of(),
                Optional.empty())));
  }

  void refused(RequestFacts facts, Refusal refusal, Reason why, long nowMs) {
    out.add(
        new Action.Explain(
            decision(
                facts,
                nowMs,
                DecisionKind.REFUSED,
                why,
                Optional.empty(),
                0,
                refusal.cell(),
                Optional.of(refusal),
                List.of(),
                Optional.empty())));
  }

  private void show(RequestFacts facts, long nowMs, DecisionKind kind, Reason reason) {
    out.add(
        new Action.Explain(
            decision(
                facts,
                nowMs,
                kind,
                reason,
                Optional.empty(),
                0,
                Optional.empty(),
                Optional.empty(),
                List.of(),
                Optional.empty())));
  }

  private static Decision decision(
      RequestFacts facts,
      long nowMs,
      DecisionKind kind,
      Reason reason,
      Optional<String> endpoint,
      int attempt,
      Optional<CellKey> cell,
      Optional<Refusal> refusal,
      List<PassedOver> passedOver,
      Optional<Reading> reading) {
    return new Decision(
        facts.requestId(),
        facts.group(),
        facts.target(),
        facts.promptTokens(),
        nowMs,
        nowMs - facts.arrivedMs(),
        kind,
        reason,
        endpoint,
        attempt,
        cell,
        refusal,
        passedOver,
        reading);
  }
}
