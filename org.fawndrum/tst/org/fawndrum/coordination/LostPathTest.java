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
 * A host that has lost its own links blames no endpoint for it. Before, it told all other hosts
 * that each endpoint on which an attempt broke had failed, and they sent nothing there for half a
 * second to eight seconds.
 */
class LostPathTest {
  private static final CallerGroup GROUP = new CallerGroup("desk", "ask");
  private static final RequestTarget TARGET = new RequestTarget(EndpointKind.MODEL, "pool");

  private final RequestCoordinator coordinator =
      new RequestCoordinator(new HostIdentity("host-1", 1), "z", Policies.standard());
  private final List<Action> actions = new ArrayList<>();
  private long nowMs = 1_000;

  LostPathTest() {
    List<CellChange> cells =
        Map.of(Column.DEADLINE_MS, "10000", Column.QUEUE_LENGTH, "5").entrySet().stream()
            .map(cell -> new CellChange(new CellKey(GROUP, cell.getKey()), cell.getValue()))
            .toList();
    Publication publication = new Publication("p", "ana", -1, cells);
    coordinator.updateTable(
        new PublicationReplay(TableRevision.EMPTY, 0, publication).apply(), nowMs);
    coordinator.updateEndpoints(List.of(engine("e-1"), engine("e-2")), nowMs);
    actions.addAll(
        coordinator.arrive(
            new RequestFacts(
                "r-1",
                GROUP,
                TARGET,
                1_000,
                16,
                nowMs,
                0,
                true,
                List.of(),
                new LatencyTargets(300, 250, 2)),
            nowMs));
  }

  private static Endpoint engine(String name) {
    return new Endpoint(
        new HostIdentity(name, 1),
        "z",
        EndpointKind.MODEL,
        new HostAddress("127.0.0.1", 1),
        Set.of("pool"),
        100_000);
  }

  private <T extends Action> List<T> actions(Class<T> kind) {
    return actions.stream().filter(kind::isInstance).map(kind::cast).toList();
  }

  private List<Action.Send> sent() {
    return actions(Action.Send.class);
  }

  private void attemptEvent(AttemptEvent event) {
    nowMs += 10;
    Action.Send last = sent().get(sent().size() - 1);
    actions.addAll(coordinator.attemptEvent(last.attempt(), event, nowMs));
  }

  /** Whether other hosts were told that an endpoint seems to have failed. */
  private boolean blamedEndpoint() {
    return actions(Action.BroadcastWork.class).stream()
        .map(Action.BroadcastWork::update)
        .anyMatch(update -> update instanceof EngineUpdate.Completed ended && ended.failed());
  }

  @Test
  void otherHostsAreNotToldThatAnEndpointFailedWhenOnlyTheLinkWasLost() {
    attemptEvent(AttemptEvent.PATH_LOST);
    assertFalse(blamedEndpoint());
    assertEquals(2, sent().size(), "a request that may be repeated is sent again");
  }

  @Test
  void otherHostsAreToldThatAnEndpointFailed() {
    attemptEvent(AttemptEvent.LOST);
    assertTrue(blamedEndpoint());
  }

  @Test
  void aRequestWithoutAnyPathIsRefusedAtOnceAsNotRun() {
    attemptEvent(AttemptEvent.NO_PATH);
    attemptEvent(AttemptEvent.NO_PATH);
    List<Action.Refuse> refused = actions(Action.Refuse.class);
    assertEquals(1, refused.size(), "refused after two attempts");
    assertEquals(RefusalKind.NO_PATH, refused.get(0).refusal().kind());
    assertEquals(Ran.NO, refused.get(0).refusal().ran());
    assertTrue(refused.get(0).refusal().retryAfterMs() > 0);
  }

  /** Backoffs that a lost link has caused must not outlast it. */
  @Test
  void anEndpointIsUsedAgainAtOnceWhenAPathIsFound() {
    attemptEvent(AttemptEvent.CONNECT_FAILED);
    attemptEvent(AttemptEvent.CONNECT_FAILED);
    int before = sent().size();
    actions.addAll(coordinator.endpointReachable(new HostIdentity("e-1", 1), nowMs + 20));
    assertEquals(before + 1, sent().size());
  }
}
