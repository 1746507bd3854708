// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.stream.Stream;
import org.fawndrum.coordination.Action;
import org.fawndrum.coordination.AttemptEvent;
import org.fawndrum.coordination.EarnedRetryBudget;
import org.fawndrum.coordination.EndpointRestrictions;
import org.fawndrum.coordination.Policies;
import org.fawndrum.coordination.RequestCoordinator;
import org.fawndrum.coordination.RequestFacts;
import org.fawndrum.coordination.RequestTarget;
import org.fawndrum.coordination.limit.PermitDemand;
import org.fawndrum.coordination.limit.PermitGrant;
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
import org.fawndrum.state.ServiceProfile;
import org.fawndrum.state.TableRevisionBuilder;
import org.junit.jupiter.api.Test;

/**
 * Where hosts send while the 26 engines of one zone start at once, of 78, and right afterwards, at
 * a load of 160 short prompts a second: on a day of the users a zone is taken back while a burst
 * arrives.
 */
class StartingEnginesTest {
  private static final EngineProfile PROFILE =
      new EngineProfile(11, 232_000, 43, 1.02, 0.0033, 0.0043, 206, 0.138, 2_048, 0.075);
  private static final CallerGroup GROUP = new CallerGroup("desk", "ask");
  private static final LatencyTargets SHORT_TARGETS = new LatencyTargets(300, 250, 2);
  private static final LatencyTargets LONG_TARGETS = new LatencyTargets(2_500, 1_000, 2);
  private static final int HOSTS = 12;
  private static final int PER_ZONE = 26;
  private static final long END_MS = 3_000;
  private static final long REPORT_MS = 20;
  private static final long FIRST_TOKEN_MS = 80;
  private static final long STREAM_MS = 900;
  private static final int PER_SECOND = 160;

  private final List<Host> hosts = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>((a, b) -> Long.compare(a.atMs(), b.atMs()));
  private final Map<String, Integer> sent = new HashMap<>();
  private long nowMs;
  private int requestCount;
  private List<PermitDemand> demands = new ArrayList<>();

  private record Event(long atMs, Runnable step) {}

  /** One host, whose reports reach the others. */
  private final class Host {
    final HostIdentity self;
    final EndpointRestrictions restrictions = new EndpointRestrictions();
    final RequestCoordinator coordinator;
    long sequence;

    Host(int number, List<Endpoint> engines, int starting) {
      self = new HostIdentity("host-" + number, 1);
      Policies policies = Policies.engineModel(new EarnedRetryBudget(0.1, 10), () -> true, Set::of);
      coordinator = new RequestCoordinator(self, "zone-" + number % 3, policies, restrictions);
      Row row = Row.EMPTY.with(Column.DEADLINE_MS, new Cell("15000", 0, "ana"));
      coordinator.updateTable(new TableRevisionBuilder(0, 0).row(GROUP, row).build(), 0);
      coordinator.updateEndpoints(engines, 0);
      restrictions
          .starts()
          .updateServices(List.of(new ServiceProfile("pool", 1, Optional.of(PROFILE), END_MS, 17)));
      restrictions.starts().zoneTakenBack(engines.subList(0, starting), 0);
    }

    List<Action> request(long tokens, LatencyTargets targets) {
      RequestTarget target = new RequestTarget(EndpointKind.MODEL, "pool");
      String id = "r-" + requestCount++;
      return apply(
          coordinator.arrive(
              new RequestFacts(id, GROUP, target, tokens, 500, nowMs, 0, true, List.of(), targets),
              nowMs));
    }

    List<Action> apply(List<Action> actions) {
      for (Action action : actions) {
        if (action instanceof Action.Send send) {
          engines(send).forEach(engine -> sent.merge(engine, 1, Integer::sum));
          at(FIRST_TOKEN_MS, () -> event(send, AttemptEvent.ANSWERING));
          at(STREAM_MS, () -> event(send, AttemptEvent.ANSWERED));
        } else if (action instanceof Action.BroadcastWork work) {
          FleetReport report =
              new FleetReport(
                  self, Optional.empty(), ++sequence, work.zone(), false, List.of(work.update()));
          hosts.stream().filter(to -> to != this).forEach(to -> at(REPORT_MS, () -> to.on(report)));
        } else if (action instanceof Action.DemandPermits wanted) {
          demands.addAll(wanted.demands());
        }
      }
      return actions;
    }

    void event(Action.Send send, AttemptEvent event) {
      apply(coordinator.attemptEvent(send.attempt(), event, nowMs));
    }

    void on(FleetReport report) {
      apply(coordinator.peerWorkReported(List.of(report), nowMs));
    }
  }

  private static Stream<String> engines(Action.Send send) {
    return Stream.concat(
        Stream.of(send.endpoint().name()), send.helpers().stream().map(h -> h.endpoint().name()));
  }

  private void at(long delayMs, Runnable step) {
    events.add(new Event(nowMs + delayMs, step));
  }

  private void fleet(int hostCount, int engineCount, int starting) {
    List<Endpoint> engines = new ArrayList<>();
    for (int i = 0; i < engineCount; i++) {
      engines.add(
          new Endpoint(
              new HostIdentity("engine-" + i, 1),
              "zone-" + i / PER_ZONE,
              EndpointKind.MODEL,
              new HostAddress("127.0.0.1", 9_000 + i),
              Set.of("pool"),
              PROFILE.memoryTokens(),
              Optional.of(PROFILE)));
    }
    for (int i = 0; i < hostCount; i++) {
      hosts.add(new Host(i, engines, starting));
    }
  }

  /** Sends short prompts at all hosts in turn until a time. */
  private void run(long untilMs) {
    sent.clear();
    for (long atMs = nowMs; atMs < untilMs; atMs += 1_000 / PER_SECOND) {
      Host host = hosts.get((int) (atMs / (1_000 / PER_SECOND) % hosts.size()));
      at(atMs - nowMs, () -> host.request(5_000, SHORT_TARGETS));
    }
    while (!events.isEmpty() && events.peek().atMs() < untilMs) {
      Event event = events.remove();
      nowMs = event.atMs();
      event.step().run();
    }
    nowMs = untilMs;
  }

  private int mostAtOneEngine() {
    return sent.values().stream().mapToInt(Integer::intValue).max().orElse(0);
  }

  private int sentToFirstZone() {
    return sent.entrySet().stream()
        .filter(entry -> Integer.parseInt(entry.getKey().substring("engine-".length())) < PER_ZONE)
        .mapToInt(Map.Entry::getValue)
        .sum();
  }

  @Test
  void otherZonesServeAtOnceWithoutPermits() {
    fleet(HOSTS, 3 * PER_ZONE, PER_ZONE);
    run(END_MS);
    assertEquals(0, sentToFirstZone());
    assertEquals(0, hosts.stream().mapToInt(host -> host.coordinator.waitingCount()).sum());
    assertTrue(sent.values().stream().mapToInt(Integer::intValue).sum() >= requestCount);
  }

  /** A host without permits demands them each second at most of the engine that it prefers. */
  @Test
  void demandsAreFew() {
    fleet(HOSTS, 3 * PER_ZONE, PER_ZONE);
    run(END_MS);
    assertTrue(demands.size() <= HOSTS * PER_ZONE * 3, demands.size() + " demands");
    assertTrue(demands.stream().noneMatch(PermitDemand::urgent));
  }

  @Test
  void theEndOfAStartMovesNoMoreToOneEngineThanPackingDoesAnyway() {
    fleet(HOSTS, 3 * PER_ZONE, 0);
    run(END_MS);
    run(END_MS + 500);
    int packed = mostAtOneEngine();
    hosts.clear();
    events.clear();
    nowMs = 0;
    fleet(HOSTS, 3 * PER_ZONE, PER_ZONE);
    run(END_MS);
    run(END_MS + 500);
    assertTrue(sentToFirstZone() > 0, "the zone is still not used");
    assertTrue(mostAtOneEngine() <= 2 * packed, mostAtOneEngine() + " instead of " + packed);
  }

  @Test
  void aLongPromptUsesStartingEnginesOnlyUnderPermits() {
    fleet(1, 4, 4);
    Host host = hosts.get(0);
    List<Action> actions = host.request(120_000, LONG_TARGETS);
    assertTrue(actions.stream().noneMatch(Action.Send.class::isInstance));
    assertFalse(demands.isEmpty());
    PermitDemand demand = demands.get(0);
    nowMs = 20;
    host.apply(
        host.coordinator.permitsGranted(
            List.of(new PermitGrant(demand.endpoint(), demand.id(), 1, 0, 60, 60)), nowMs));
    assertEquals(Set.of(demand.endpoint()), sent.keySet());
  }
}
