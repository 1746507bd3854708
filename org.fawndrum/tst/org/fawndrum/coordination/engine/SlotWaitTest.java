// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fawndrum.coordination.Action;
import org.fawndrum.coordination.EarnedRetryBudget;
import org.fawndrum.coordination.Policies;
import org.fawndrum.coordination.RequestCoordinator;
import org.fawndrum.coordination.RequestFacts;
import org.fawndrum.coordination.RequestTarget;
import org.fawndrum.coordination.membership.FleetReport;
import org.fawndrum.state.CallerGroup;
import org.fawndrum.state.Cell;
import org.fawndrum.state.Column;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.EndpointKind;
import org.fawndrum.state.EngineProfile;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.LatencyTargets;
import org.fawndrum.state.Row;
import org.fawndrum.state.TableRevisionBuilder;
import org.junit.jupiter.api.Test;

/** Short prompts while engines prefill long ones and no slot is free elsewhere. */
class SlotWaitTest {
  private static final EngineProfile PROFILE =
      new EngineProfile(8, 382_000, 57, 0.925, 0.004, 0.003, 256, 0.085, 2_048, 0.05);
  private static final CallerGroup GROUP = new CallerGroup("desk", "ask");
  private static final LatencyTargets SHORT_TARGETS = new LatencyTargets(300, 200, 2);
  private static final LatencyTargets LONG_TARGETS = new LatencyTargets(4_000, 800, 2);

  private int nextRequest;

  private static RequestCoordinator host(int engines) {
    RequestCoordinator host =
        new RequestCoordinator(
            new HostIdentity("host-1", 1),
            "zone-a",
            Policies.engineModel(new EarnedRetryBudget(0.1, 10), () -> false, Set::of));
    Row row = Row.EMPTY.with(Column.DEADLINE_MS, new Cell("15000", 0, "ana"));
    host.updateTable(new TableRevisionBuilder(0, 0).row(GROUP, row).build(), 0);
    List<Endpoint> all = new ArrayList<>();
    for (int i = 0; i < engines; i++) {
      all.add(
          new Endpoint(
              new HostIdentity("engine-" + i, 0),
              "zone-a",
              EndpointKind.MODEL,
              new HostAddress("127.0.0.1", 9_000 + i),
              Set.of("pool"),
              PROFILE.memoryTokens(),
              Optional.of(PROFILE)));
    }
    host.updateEndpoints(all, 0);
    return host;
  }

  private Optional<Action.Send> send(
      RequestCoordinator host, long promptTokens, LatencyTargets targets, long nowMs) {
    RequestTarget pool = new RequestTarget(EndpointKind.MODEL, "pool");
    String id = "r-" + nextRequest++;
    RequestFacts facts =
        new RequestFacts(id, GROUP, pool, promptTokens, 1_000, nowMs, 0, true, List.of(), targets);
    return sends(host.arrive(facts, nowMs)).stream().findFirst();
  }

  private static List<Action.Send> sends(List<Action> actions) {
    return actions.stream()
        .filter(action -> action instanceof Action.Send)
        .map(action -> (Action.Send) action)
        .toList();
  }

  /** Adds work of another host to one engine. */
  private static void place(RequestCoordinator host, String engine, int count, long nowMs) {
    HostIdentity at = new HostIdentity(engine, 0);
    List<EngineUpdate> updates = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      updates.add(
          new EngineUpdate.Placed(
              new EngineJob(100 + i, at, 1_000, 2_000, 1, true, SHORT_TARGETS, nowMs)));
      updates.add(new EngineUpdate.Prefilled(100 + i));
    }
    report(host, updates, nowMs);
  }

  private static void placeLong(RequestCoordinator host, String engine, long nowMs) {
    HostIdentity at = new HostIdentity(engine, 0);
    EngineJob job = new EngineJob(50, at, 300_000, 301_000, 1, true, LONG_TARGETS, nowMs);
    report(host, List.of(new EngineUpdate.Placed(job)), nowMs);
  }

  private static void report(RequestCoordinator host, List<EngineUpdate> updates, long nowMs) {
    HostIdentity other = new HostIdentity("host-99", 1);
    host.peerWorkReported(
        List.of(new FleetReport(other, Optional.empty(), 1, "zone-a", false, updates)), nowMs);
  }

  /** Short prompts triple while the other engine prefills a long prompt for over a second. */
  @Test
  void shortPromptWaitsForASlotRatherThanForALongPrefill() {
    RequestCoordinator host = host(2);
    place(host, "engine-0", PROFILE.slots(), 0);
    placeLong(host, "engine-1", 100);
    assertTrue(send(host, 1_000, SHORT_TARGETS, 200).isEmpty());
    assertTrue(sends(host.tick(250)).isEmpty());
    report(host, List.of(new EngineUpdate.Completed(100, false)), 260);
    assertEquals(0, host.waitingCount());
  }

  /** The same, and no stream ends in time: then the prompt is sent before it is twice as late. */
  @Test
  void shortPromptDoesNotWaitForASlotPastItsTarget() {
    RequestCoordinator host = host(2);
    place(host, "engine-0", PROFILE.slots(), 0);
    placeLong(host, "engine-1", 100);
    assertTrue(send(host, 1_000, SHORT_TARGETS, 200).isEmpty());
    host.tick(200 + SHORT_TARGETS.firstTokenMs());
    assertEquals(0, host.waitingCount());
  }
}
