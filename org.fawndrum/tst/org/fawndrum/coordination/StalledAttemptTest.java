// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
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
 * A stalled attempt is ended only to be replaced by another attempt.
 *
 * <p>Guards against this failure: a host that was shutting down, with all engines under load but
 * healthy, truncated an answer 6 s after it had accepted the request, 2 s before its own shutdown.
 * Two engines in turn had paused for longer than the stall limit. The host ended the second attempt
 * although the request could not be sent a third time, and so cut off an answer that its engine was
 * still generating.
 */
class StalledAttemptTest {
  private static final CallerGroup GROUP = new CallerGroup("desk", "ask");
  private static final RequestTarget TARGET = new RequestTarget(EndpointKind.MODEL, "pool");

  /** Maximum number of endpoints that the request may be sent to. */
  private static final int MAX_ATTEMPTS = 2;

  private final RequestCoordinator coordinator =
      new RequestCoordinator(new HostIdentity("host-1", 1), "z", Policies.standard());
  private final List<Action.Send> sent = new ArrayList<>();
  private final List<Action> others = new ArrayList<>();
  private long nowMs = 1_000;

  StalledAttemptTest() {
    List<CellChange> cells =
        Map.of(Column.DEADLINE_MS, "10000", Column.QUEUE_LENGTH, "5").entrySet().stream()
            .map(cell -> new CellChange(new CellKey(GROUP, cell.getKey()), cell.getValue()))
            .toList();
    Publication publication = new Publication("p", "ana", -1, cells);
    coordinator.updateTable(
        new PublicationReplay(TableRevision.EMPTY, 0, publication).apply(), nowMs);
    coordinator.updateEndpoints(List.of(engine("e-1"), engine("e-2"), engine("e-3")), nowMs);
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

  private void apply(List<Action> actions) {
    for (Action action : actions) {
      if (action instanceof Action.Send send) {
        sent.add(send);
      } else if (!(action instanceof Action.RecordDecision
          || action instanceof Action.BroadcastWork)) {
        others.add(action);
      }
    }
  }

  private void arrive() {
    apply(
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
                new LatencyTargets(300, 250, MAX_ATTEMPTS)),
            nowMs));
  }

  private void attemptEvent(AttemptEvent event) {
    nowMs += 1_000;
    apply(coordinator.attemptEvent(sent.get(sent.size() - 1).attempt(), event, nowMs));
  }

  @Test
  void stalledAttemptIsReplacedByAnother() {
    arrive();
    attemptEvent(AttemptEvent.ANSWERING);
    attemptEvent(AttemptEvent.STALLED);
    assertEquals(2, sent.size());
  }

  @Test
  void lastAttemptContinuesIfAnEarlierOneBeganTheAnswer() {
    arrive();
    attemptEvent(AttemptEvent.ANSWERING);
    attemptEvent(AttemptEvent.STALLED);
    others.clear();
    attemptEvent(AttemptEvent.STALLED);
    assertEquals(List.of(), others, "answer truncated");
  }

  @Test
  void callerWithoutAnyAnswerIsRefusedAtOnceIfNoAttemptFollows() {
    arrive();
    attemptEvent(AttemptEvent.STALLED);
    others.clear();
    attemptEvent(AttemptEvent.STALLED);
    assertEquals(2, others.size(), "cancelled and refused: " + others);
    assertEquals(0, coordinator.openCount());
  }

  @Test
  void lastAttemptThatBeganTheAnswerContinuesWhileStalled() {
    arrive();
    attemptEvent(AttemptEvent.STALLED);
    attemptEvent(AttemptEvent.ANSWERING);
    others.clear();
    attemptEvent(AttemptEvent.STALLED);
    assertEquals(List.of(), others, "answer truncated");
    attemptEvent(AttemptEvent.ANSWERED);
    assertEquals(0, coordinator.openCount());
    assertTrue(others.isEmpty(), "completed without its answer");
  }
}
