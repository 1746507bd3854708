// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fawndrum.coordination.engine.EngineUpdate;
import org.fawndrum.state.CallerGroup;
import org.fawndrum.state.CellChange;
import org.fawndrum.state.CellKey;
import org.fawndrum.state.Column;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.EndpointKind;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.LatencyTargets;
import org.fawndrum.state.Publication;
import org.fawndrum.state.PublicationReplay;
import org.fawndrum.state.TableRevision;
import org.junit.jupiter.api.Test;

/**
 * An endpoint that answers another request once more is alive. Before, it rested for half a second
 * and more, and other hosts were told that it had failed.
 */
class StrayAnswerTest {
  private static final CallerGroup GROUP = new CallerGroup("desk", "ask");
  private static final RequestTarget TARGET = new RequestTarget(EndpointKind.MODEL, "pool");
  private static final long DEADLINE_MS = 10_000;

  /** More than the retries that the policies allow without a single request. */
  private static final int MANY = 400;

  private final RequestCoordinator coordinator =
      new RequestCoordinator(new HostIdentity("host-1", 1), "z", Policies.standard());
  private final List<Action> actions = new ArrayList<>();
  private long nowMs = 1_000;

  StrayAnswerTest() {
    List<CellChange> cells =
        Map.of(Column.DEADLINE_MS, "" + DEADLINE_MS, Column.QUEUE_LENGTH, "5").entrySet().stream()
            .map(cell -> new CellChange(new CellKey(GROUP, cell.getKey()), cell.getValue()))
            .toList();
    Publication publication = new Publication("p", "ana", -1, cells);
    coordinator.updateTable(
        new PublicationReplay(TableRevision.EMPTY, 0, publication).apply(), nowMs);
    Endpoint only =
        new Endpoint(
            new HostIdentity("e-1", 1),
            "z",
            EndpointKind.MODEL,
            new HostAddress("127.0.0.1", 1),
            Set.of("pool"),
            100_000);
    coordinator.updateEndpoints(List.of(only), nowMs);
  }

  private void arrive(String id, boolean repeatable) {
    actions.addAll(
        coordinator.arrive(
            new RequestFacts(
                id,
                GROUP,
                TARGET,
                1_000,
                16,
                nowMs,
                0,
                repeatable,
                List.of(),
                new LatencyTargets(300, 250, 2)),
            nowMs));
  }

  private <T extends Action> List<T> actions(Class<T> kind) {
    return actions.stream().filter(kind::isInstance).map(kind::cast).toList();
  }

  private List<Action.Send> sent() {
    return actions(Action.Send.class);
  }

  private void attemptEvent(AttemptEvent event) {
    Action.Send last = sent().get(sent().size() - 1);
    actions.addAll(coordinator.attemptEvent(last.attempt(), event, nowMs));
  }

  @Test
  void aRequestThatMayBeRepeatedIsSentToTheOnlyEndpointAgainAtOnce() {
    arrive("r-1", true);
    attemptEvent(AttemptEvent.STRAY_ANSWER);
    assertEquals(2, sent().size());
    attemptEvent(AttemptEvent.ANSWERED);
    assertEquals(0, coordinator.openCount());
  }

  @Test
  void otherHostsAreNotToldThatTheEndpointFailed() {
    arrive("r-1", true);
    attemptEvent(AttemptEvent.STRAY_ANSWER);
    assertFalse(
        actions(Action.BroadcastWork.class).stream()
            .map(Action.BroadcastWork::update)
            .anyMatch(update -> update instanceof EngineUpdate.Completed ended && ended.failed()));
  }

  @Test
  void aRequestThatMustNotBeRepeatedIsNotSentAgainAndNotSaidNotToHaveRun() {
    arrive("r-1", false);
    attemptEvent(AttemptEvent.STRAY_ANSWER);
    assertEquals(1, sent().size());
    Refusal refusal = actions(Action.Refuse.class).get(0).refusal();
    assertEquals(RefusalKind.OUTCOME_UNKNOWN, refusal.kind());
    assertEquals(Ran.UNKNOWN, refusal.ran());
  }

  @Test
  void theAttemptsOfARequestAreLimited() {
    arrive("r-1", true);
    attemptEvent(AttemptEvent.STRAY_ANSWER);
    attemptEvent(AttemptEvent.STRAY_ANSWER);
    assertEquals(2, sent().size());
    assertEquals(Ran.UNKNOWN, actions(Action.Refuse.class).get(0).refusal().ran());
  }

  /** Endpoints count each arrival past the first of a request, whatever its cause. */
  @Test
  void repetitionsAreTakenFromTheRetryBudget() {
    for (int i = 0; i < MANY; i++) {
      arrive("r-" + i, true);
      int before = sent().size();
      attemptEvent(AttemptEvent.STRAY_ANSWER);
      if (sent().size() > before) {
        attemptEvent(AttemptEvent.ANSWERED);
      }
    }
    int repeated = sent().size() - MANY;
    assertTrue(repeated < MANY, "no limit: " + repeated);
    assertEquals(MANY - repeated, actions(Action.Refuse.class).size());
  }
}
