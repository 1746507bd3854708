// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.List;
import java.util.Optional;
import org.fawndrum.state.CellKey;

/** Builds the record of one decision. Fields that are not set are empty. Confined to one thread. */
final class DecisionBuilder {
  private final RequestFacts facts;
  private final long nowMs;
  private final DecisionKind kind;
  private final Reason reason;
  private Optional<String> endpoint = Optional.empty();
  private int attempt;
  private Optional<CellKey> cell = Optional.empty();
  private Optional<Refusal> refusal = Optional.empty();
  private List<PassedOverEndpoint> passedOver = List.of();
  private Optional<Prefill> prefill = Optional.empty();

  /** Creates a builder with the mandatory fields. */
  DecisionBuilder(RequestFacts facts, long nowMs, DecisionKind kind, Reason reason) {
    this.facts = facts;
    this.nowMs = nowMs;
    this.kind = kind;
    this.reason = reason;
  }

  /** Sets the endpoint and number of the attempt. */
  DecisionBuilder attempt(EndpointState state, int number) {
    endpoint = Optional.of(state.endpoint().name());
    attempt = number;
    return this;
  }

  /** Sets the table cell that decided. */
  DecisionBuilder cell(CellKey key) {
    cell = Optional.of(key);
    return this;
  }

  /** Sets the refusal and, if it has one, the table cell that decided. */
  DecisionBuilder refusal(Refusal answer) {
    refusal = Optional.of(answer);
    cell = answer.cell();
    return this;
  }

  /** Sets the endpoints considered and not chosen. */
  DecisionBuilder passedOver(List<PassedOverEndpoint> endpoints) {
    passedOver = endpoints;
    return this;
  }

  /** Sets how the prompt is prefilled, if known. */
  DecisionBuilder prefill(Optional<Prefill> value) {
    prefill = value;
    return this;
  }

  Decision build() {
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
        prefill);
  }
}
