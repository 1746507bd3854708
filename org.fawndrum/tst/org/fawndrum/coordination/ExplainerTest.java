// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.fawndrum.state.CallerGroup;
import org.fawndrum.state.CellKey;
import org.fawndrum.state.Column;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.EndpointKind;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.Row;
import org.junit.jupiter.api.Test;

/** What the record of each kind of decision says, field by field. */
class ExplainerTest {
  private static final CallerGroup GROUP = new CallerGroup("desk", "ask");
  private static final RequestTarget TARGET = new RequestTarget(EndpointKind.MODEL, "pool");
  private static final RequestFacts FACTS =
      new RequestFacts("r-1", GROUP, TARGET, 5_000, 100, 1_000, 0, true, List.of());
  private static final List<PassedOver> PASSED_OVER = List.of(new PassedOver("engine-3", 90));

  private final List<Action> out = new ArrayList<>();
  private final DecisionRecorder explainer = new DecisionRecorder(out);
  private final OpenRequest request = new OpenRequest(FACTS, Row.EMPTY, 16_000, 0);
  private final Placement.Choice choice =
      new Placement.Choice(
          engine(1),
          Reason.SEVERAL_ENGINES,
          PASSED_OVER,
          List.of(new Placement.Helper(engine(2), 0)),
          OptionalLong.of(70));

  private static EndpointState engine(int number) {
    return new EndpointState(
        new Endpoint(
            new HostIdentity("engine-" + number, 0),
            "zone-a",
            EndpointKind.MODEL,
            new HostAddress("127.0.0.1", 9_000 + number),
            Set.of("pool"),
            1_000,
            Optional.empty()),
        1,
        new EndpointRests());
  }

  private OpenRequest.Attempt attempt() {
    return new OpenRequest.Attempt(
        new AttemptId(new HostIdentity("host-1", 1), "r-1", 2), choice, 1_040);
  }

  private static Optional<Reading> reading(long tookMs) {
    return Optional.of(new Reading(List.of(name(1), name(2)), 70, tookMs));
  }

  private static String name(int number) {
    return engine(number).endpoint().name();
  }

  /** Checks the only record; what it says of the request is the same in all. */
  private void said(
      long atMs,
      DecisionKind kind,
      Reason reason,
      Optional<String> endpoint,
      int attempt,
      Optional<CellKey> cell,
      Optional<Refusal> refusal,
      List<PassedOver> passedOver,
      Optional<Reading> reading) {
    Decision expected =
        new Decision(
            "r-1",
            GROUP,
            TARGET,
            5_000,
            atMs,
            atMs - 1_000,
            kind,
            reason,
            endpoint,
            attempt,
            cell,
            refusal,
            passedOver,
            reading);
    assertEquals(List.of(new Action.Explain(expected)), out);
  }

  /** Checks the only record, which names no endpoint. */
  private void saidOfRequest(DecisionKind kind, Reason reason) {
    said(
        1_010,
        kind,
        reason,
        Optional.empty(),
        0,
        Optional.empty(),
        Optional.empty(),
        List.of(),
        Optional.empty());
  }

  @Test
  void admittedNamesNoEndpoint() {
    explainer.admitted(FACTS, 1_010);
    saidOfRequest(DecisionKind.ADMITTED, Reason.WITHIN_LIMITS);
  }

  @Test
  void waitingNamesNoEndpoint() {
    explainer.waiting(request, 1_010);
    saidOfRequest(DecisionKind.WAITING, Reason.ENDPOINTS_BUSY);
  }

  @Test
  void placedNamesTheShareWhatWasPassedOverAndHowItIsRead() {
    explainer.placed(request, choice, 1, 1_040);
    saidPlaced(Reason.SEVERAL_ENGINES, 1);
  }

  @Test
  void placedAgainNamesTheFailureAsTheCause() {
    explainer.placed(request, choice, 2, 1_040);
    saidPlaced(Reason.ENDPOINT_FAILED, 2);
  }

  private void saidPlaced(Reason reason, int attempt) {
    said(
        1_040,
        DecisionKind.PLACED,
        reason,
        Optional.of(name(1)),
        attempt,
        Optional.of(new CellKey(GROUP, Column.SHARE)),
        Optional.empty(),
        PASSED_OVER,
        reading(Reading.NOT_YET));
  }

  @Test
  void aFirstTokenTellsHowLongTheReadingTook() {
    explainer.firstToken(request, attempt(), 1_120);
    said(
        1_120,
        DecisionKind.FIRST_TOKEN,
        Reason.COMPLETE,
        Optional.of(name(1)),
        2,
        Optional.empty(),
        Optional.empty(),
        List.of(),
        reading(80));
  }

  @Test
  void anAttemptNamesItsEndpointAndNumber() {
    explainer.attempt(
        request, attempt(), DecisionKind.ATTEMPT_FAILED, Reason.ENDPOINT_FAILED, 1_200);
    said(
        1_200,
        DecisionKind.ATTEMPT_FAILED,
        Reason.ENDPOINT_FAILED,
        Optional.of(name(1)),
        2,
        Optional.empty(),
        Optional.empty(),
        List.of(),
        Optional.empty());
  }

  @Test
  void aRefusalNamesTheCellThatDecided() {
    CellKey cell = new CellKey(GROUP, Column.DEADLINE_MS);
    Refusal refusal = new Refusal(RefusalKind.values()[0], Ran.NO, 250, Optional.of(cell));
    explainer.refused(FACTS, refusal, Reason.ENDPOINTS_BUSY, 1_300);
    said(
        1_300,
        DecisionKind.REFUSED,
        Reason.ENDPOINTS_BUSY,
        Optional.empty(),
        0,
        Optional.of(cell),
        Optional.of(refusal),
        List.of(),
        Optional.empty());
  }
}
