// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.List;
import java.util.Optional;
import org.fawndrum.state.CellKey;

/** Builds the record of one decision; what is not said stays empty. Confined to one thread. */
final class DecisionBuilder {
  private final RequestFacts facts;
  private final long nowMs;
  private final DecisionKind kind;
  private final Reason reason;
  private Optional<String> endpoint = Optional.empty();
  private int attempt;
  private Optional<CellKey> cell = Optional.empty();
  private Optional<Refusal> refusal = Optional.empty();
  private List<PassedOver> passedOver = List.of();
  private Optional<Reading> reading = Optional.empty();

  /** Begins the record of what was decided on a request, and why. */
  DecisionBuilder(RequestFacts facts, long nowMs, DecisionKind kind, Reason reason) {
    this.facts = facts;
    this.nowMs = nowMs;
    this.kind = kind;
    this.reason = reason;
  }

  /** Names the attempt concerned, by its number, and its endpoint. */
  DecisionBuilder attempt(EndpointState at, int number) {
    endpoint = Optional.of(at.endpoint().name());
    attempt = number;
    return this;
  }

  /** Names the cell of the table that decided. */
  DecisionBuilder cell(CellKey key) {
    cell = Optional.of(key);
    return this;
  }

  /** Tells that this is the final answer, with the cell that decided, if one did. */
  DecisionBuilder refusal(Refusal answer) {
    refusal = Optional.of(answer);
    cell = answer.cell();
    return this;
  }

  /** Names the nearest endpoints that were not chosen. */
  DecisionBuilder passedOver(List<PassedOver> nearest) {
    passedOver = nearest;
    return this;
  }

  /** Tells how the prompt is read, if that is known. */
  DecisionBuilder reading(Optional<Reading> how) {
    reading = how;
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
        reading);
  }
}
