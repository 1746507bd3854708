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
import org.fawndrum.state.Publication;
import org.fawndrum.state.ReplayPublication;
import org.fawndrum.state.RequestAims;
import org.fawndrum.state.TableRevision;
import org.junit.jupiter.api.Test;

/**
 * An attempt that stalls makes way for another one, and only for that.
 *
 * <p>What was seen: a host that was stopping, with all engines under load and none in trouble, cut
 * an answer in the middle 6 s after it had taken the request, 2 s before its own end. How it came
 * about: the first engine paused for longer than the limit, so another one went on; that paused as
 * long. Cause: a stalled attempt was ended also when the request could not be sent again, so that
 * the host itself broke off an answer that its engine was still writing. What proved it: the lines
 * of the request, which end with the refusal to send it a third time, and the engine's run, cut at
 * the same moment.
 */
class StalledAttemptTest {
  private static final CallerGroup GROUP = new CallerGroup("desk", "ask");
  private static final RequestTarget TARGET = new RequestTarget(EndpointKind.MODEL, "pool");

  /** The most endpoints that the request may be sent to. */
  private static final int MOST = 2;

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
    coordinator.table(new ReplayPublication(TableRevision.EMPTY, 0, publication).call(), nowMs);
    coordinator.endpoints(List.of(engine("e-1"), engine("e-2"), engine("e-3")), nowMs);
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

  private void take(List<Action> actions) {
    for (Action action : actions) {
      if (action instanceof Action.Send send) {
        sent.add(send);
      } else if (!(action instanceof Action.Explain || action instanceof Action.Announce)) {
        others.add(action);
      }
    }
  }

  private void ask() {
    take(
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
                new RequestAims(300, 250, MOST)),
            nowMs));
  }

  private void happens(AttemptEvent event) {
    nowMs += 1_000;
    take(coordinator.attempt(sent.get(sent.size() - 1).attempt(), event, nowMs));
  }

  @Test
  void aStalledAttemptMakesWayForAnother() {
    ask();
    happens(AttemptEvent.ANSWERING);
    happens(AttemptEvent.STALLED);
    assertEquals(2, sent.size());
  }

  @Test
  void theLastAttemptGoesOnAlsoIfOnlyAnEarlierOneHasBegunTheAnswer() {
    ask();
    happens(AttemptEvent.ANSWERING);
    happens(AttemptEvent.STALLED);
    others.clear();
    happens(AttemptEvent.STALLED);
    assertEquals(List.of(), others, "the answer is broken off");
  }

  @Test
  void aCallerWhoHasNothingYetIsToldAtOnceThatNoOtherAttemptFollows() {
    ask();
    happens(AttemptEvent.STALLED);
    others.clear();
    happens(AttemptEvent.STALLED);
    assertEquals(2, others.size(), "cancelled and refused: " + others);
    assertEquals(0, coordinator.open());
  }

  @Test
  void theLastAttemptGoesOnHoweverLongItIsSilent() {
    ask();
    happens(AttemptEvent.STALLED);
    happens(AttemptEvent.ANSWERING);
    others.clear();
    happens(AttemptEvent.STALLED);
    assertEquals(List.of(), others, "the answer is broken off");
    happens(AttemptEvent.ANSWERED);
    assertEquals(0, coordinator.open());
    assertTrue(others.isEmpty(), "ended otherwise than with its answer");
  }
}
