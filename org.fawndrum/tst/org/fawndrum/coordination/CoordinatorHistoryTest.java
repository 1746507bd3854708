// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.fawndrum.state.CallerGroup;
import org.fawndrum.state.CellChange;
import org.fawndrum.state.CellKey;
import org.fawndrum.state.Column;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.EndpointKind;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.Publication;
import org.fawndrum.state.PublicationReplay;
import org.fawndrum.state.TableRevision;

/**
 * Simulates random histories of requests against endpoints that answer, refuse, fail, stall and
 * drain. Every admitted request must complete exactly once before its deadline, "not run" must be
 * true, and a request that must not be repeated is sent at most once.
 */
class CoordinatorHistoryTest {
  private static final HostIdentity SELF = new HostIdentity("host", 1);
  private static final CallerGroup GROUP = new CallerGroup("w", "c");
  private static final long DEADLINE_MS = 5_000;

  @Property(tries = 1_500, seed = "41")
  void everyRequestCompletesOnceBeforeItsDeadline(@ForAll long seed) {
    new History(seed).run();
  }

  @Property(tries = 1_000, seed = "42")
  void everyRequestCompletesOnceWhenItsHostShutsDown(@ForAll long seed) {
    new History(seed).runUntilShutdown();
  }

  private static final class History {
    private final Random random;
    private final RequestCoordinator coordinator;
    private final Map<String, Long> arrived = new HashMap<>();
    private final Map<String, Boolean> repeatable = new HashMap<>();
    private final Set<String> completed = new HashSet<>();
    private final Map<String, Integer> mayHaveRun = new HashMap<>();
    private final Map<AttemptId, Endpoint> inFlight = new HashMap<>();
    private final Set<String> everSent = new HashSet<>();
    private long nowMs = 1_000;

    History(long seed) {
      random = new Random(seed);
      Policies policies =
          switch (random.nextInt(3)) {
            case 0 -> Policies.standard();
            case 1 -> Policies.firstComeRoundRobin();
            default -> Policies.firstComeLeastInFlight();
          };
      coordinator = new RequestCoordinator(SELF, "z", policies);
      coordinator.updateTable(table(), nowMs);
      updateEndpoints();
    }

    private static TableRevision table() {
      List<CellChange> changes = new ArrayList<>();
      Map<Column, String> cells =
          Map.of(
              Column.DEADLINE_MS, Long.toString(DEADLINE_MS),
              Column.QUEUE_LENGTH, "5",
              Column.IN_FLIGHT, "12",
              Column.TOKENS_PER_SECOND, "2000000");
      cells.forEach(
          (column, value) -> changes.add(new CellChange(new CellKey(GROUP, column), value)));
      return new PublicationReplay(TableRevision.EMPTY, 0, new Publication("p", "ana", -1, changes))
          .apply();
    }

    private void updateEndpoints() {
      List<Endpoint> endpoints = new ArrayList<>();
      for (int i = 0; i < random.nextInt(4); i++) {
        for (EndpointKind kind : EndpointKind.values()) {
          String name = kind + "-" + i;
          endpoints.add(
              new Endpoint(
                  new HostIdentity(name, 1),
                  "z",
                  kind,
                  new HostAddress("127.0.0.1", 1),
                  Set.of("target"),
                  100_000));
        }
      }
      apply(coordinator.updateEndpoints(endpoints, nowMs));
    }

    void run() {
      for (int step = 0; step < 150; step++) {
        step();
      }
      nowMs += DEADLINE_MS + 1;
      apply(coordinator.tick(nowMs));
      assertNothingLeft();
    }

    void runUntilShutdown() {
      for (int step = random.nextInt(100); step > 0; step--) {
        step();
      }
      long graceMs = random.nextInt(12_000);
      long orderedMs = nowMs;
      ShutdownWindow window = ShutdownWindow.from(orderedMs, graceMs);
      coordinator.beginShutdown(window);
      while (nowMs < window.shutdownMs()) {
        step();
      }
      for (String id : everSent) {
        long arrivedMs = arrived.get(id);
        assertTrue(
            arrivedMs < orderedMs + graceMs * 3 / 8
                || arrivedMs + DEADLINE_MS < window.shutdownMs(),
            id + " was accepted and may not complete in time");
      }
      apply(coordinator.giveUpAll(nowMs));
      assertEquals(Set.of(), inFlight.keySet(), "attempts that were not cancelled");
      int sent = everSent.size();
      arrive();
      assertEquals(sent, everSent.size(), "sent after the shutdown");
      assertNothingLeft();
    }

    private void step() {
      nowMs += random.nextInt(120);
      int roll = random.nextInt(20);
      if (roll < 6) {
        arrive();
      } else if (roll < 15) {
        attemptEvent();
      } else if (roll == 15) {
        updateEndpoints();
      } else if (roll == 16 && !arrived.isEmpty()) {
        callerGone();
      } else {
        apply(coordinator.tick(nowMs));
        assertNoneOverdue();
      }
    }

    private void assertNothingLeft() {
      assertEquals(arrived.keySet(), completed);
      assertEquals(0, coordinator.openCount());
      assertEquals(0, coordinator.waitingCount());
    }

    private void arrive() {
      String id = "r" + arrived.size();
      EndpointKind kind = EndpointKind.values()[random.nextInt(2)];
      boolean isRepeatable = kind == EndpointKind.MODEL || random.nextBoolean();
      long tokens = kind == EndpointKind.MODEL ? 1_000L << random.nextInt(8) : 0;
      arrived.put(id, nowMs);
      repeatable.put(id, isRepeatable);
      RequestTarget target = new RequestTarget(kind, "target");
      RequestFacts facts =
          new RequestFacts(id, GROUP, target, tokens, 16, nowMs, 0, isRepeatable, List.of());
      apply(coordinator.arrive(facts, nowMs));
    }

    private void attemptEvent() {
      if (inFlight.isEmpty()) {
        return;
      }
      List<AttemptId> ids = new ArrayList<>(inFlight.keySet());
      AttemptId id = ids.get(random.nextInt(ids.size()));
      AttemptEvent[] events = AttemptEvent.values();
      AttemptEvent event = events[1 + random.nextInt(events.length - 1)];
      if (event == AttemptEvent.ANSWERED) {
        completed.add(id.requestId());
      }
      boolean reportedNotRun =
          event == AttemptEvent.CONNECT_FAILED
              || event == AttemptEvent.ENDPOINT_BACKOFF
              || event == AttemptEvent.ENDPOINT_LIMITED
              || event == AttemptEvent.ZONE_DRAINED
              || event == AttemptEvent.NO_PATH
              || event == AttemptEvent.REFUSED_BY_ENDPOINT;
      boolean started = inFlight.get(id) == null;
      if (reportedNotRun && !started) {
        mayHaveRun.merge(id.requestId(), -1, Integer::sum);
      }
      if (event == AttemptEvent.ANSWERING) {
        inFlight.put(id, null);
      } else if (event != AttemptEvent.STALLED) {
        // A stalled attempt continues until it is cancelled.
        inFlight.remove(id);
      }
      apply(coordinator.attemptEvent(id, event, nowMs));
    }

    private void callerGone() {
      List<String> ids = new ArrayList<>(arrived.keySet());
      apply(coordinator.callerGone(ids.get(random.nextInt(ids.size())), nowMs));
    }

    private void assertNoneOverdue() {
      arrived.forEach(
          (id, arrivedMs) ->
              assertTrue(
                  completed.contains(id) || nowMs < arrivedMs + DEADLINE_MS, id + " overdue"));
    }

    private void apply(List<Action> actions) {
      for (Action action : actions) {
        if (action instanceof Action.Send send) {
          sent(send);
        } else if (action instanceof Action.Cancel cancel) {
          inFlight.remove(cancel.attempt());
        } else if (action instanceof Action.Refuse refuse) {
          refused(refuse);
        }
      }
    }

    private void sent(Action.Send send) {
      String id = send.attempt().requestId();
      assertTrue(!completed.contains(id), id + " sent after completion");
      int before = mayHaveRun.merge(id, 1, Integer::sum);
      assertTrue(repeatable.get(id) || before == 1, id + " may run twice");
      inFlight.put(send.attempt(), send.endpoint());
      everSent.add(id);
    }

    private void refused(Action.Refuse refuse) {
      String id = refuse.requestId();
      assertTrue(completed.add(id), id + " completed twice");
      if (refuse.refusal().ran() == Ran.NO) {
        assertEquals(
            0, mayHaveRun.getOrDefault(id, 0), id + " reported as not run, but may have run");
      }
    }
  }
}
