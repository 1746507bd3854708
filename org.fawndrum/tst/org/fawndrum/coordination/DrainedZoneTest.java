// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.fawndrum.coordination.limit.EndpointPermits;
import org.fawndrum.coordination.limit.EndpointRateLimits;
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

/** The endpoints of a drained zone get nothing new, while what they run continues. */
class DrainedZoneTest {
  private static final EngineProfile PROFILE =
      new EngineProfile(11, 232_000, 43, 1.02, 0.0033, 0.0043, 206, 0.138, 2_048, 0.075);
  private static final CallerGroup GROUP = new CallerGroup("desk", "ask");
  private static final LatencyTargets TARGETS = new LatencyTargets(2_500, 1_000, 2);

  private final EndpointRestrictions restrictions = new EndpointRestrictions();
  private final RequestCoordinator coordinator =
      new RequestCoordinator(
          new HostIdentity("host-1", 1),
          "zone-a",
          Policies.engineModel(new EarnedRetryBudget(0, 0), () -> false, Set::of),
          restrictions);
  private final List<Action> actions = new ArrayList<>();
  private int requestCount;

  DrainedZoneTest() {
    Row row = Row.EMPTY.with(Column.DEADLINE_MS, new Cell("60000", 0, "ana"));
    coordinator.updateTable(new TableRevisionBuilder(0, 0).row(GROUP, row).build(), 0);
    coordinator.updateEndpoints(
        List.of(engine("a-1", "zone-a"), engine("a-2", "zone-a"), engine("b-1", "zone-b")), 0);
  }

  private static Endpoint engine(String name, String zone) {
    return new Endpoint(
        new HostIdentity(name, 1),
        zone,
        EndpointKind.MODEL,
        new HostAddress("127.0.0.1", 9_000),
        Set.of("pool"),
        PROFILE.memoryTokens(),
        Optional.of(PROFILE));
  }

  private void drained(long nowMs, String... zones) {
    restrictions.drainedZones().replace(Set.of(zones));
    actions.clear();
    actions.addAll(coordinator.drainedZonesChanged(nowMs));
  }

  /** Handles a new request. Returns the send action, if any. */
  private Optional<Action.Send> arrive(long promptTokens, long nowMs) {
    RequestFacts facts =
        new RequestFacts(
            "r-" + ++requestCount,
            GROUP,
            new RequestTarget(EndpointKind.MODEL, "pool"),
            promptTokens,
            100,
            nowMs,
            0,
            false,
            List.of(),
            TARGETS);
    actions.clear();
    actions.addAll(coordinator.arrive(facts, nowMs));
    return sent();
  }

  private Optional<Action.Send> sent() {
    return of(Action.Send.class).reduce((a, b) -> b);
  }

  private List<RefusalKind> refused() {
    return of(Action.Refuse.class).map(a -> a.refusal().kind()).toList();
  }

  private <T> Stream<T> of(Class<T> kind) {
    return actions.stream().filter(kind::isInstance).map(kind::cast);
  }

  private static Set<String> zonesOf(Action.Send send) {
    Stream<Endpoint> helpers = send.helpers().stream().map(Action.Helper::endpoint);
    return Stream.concat(Stream.of(send.endpoint()), helpers)
        .map(Endpoint::zone)
        .collect(Collectors.toSet());
  }

  @Test
  void zoneThatHostsPreferGetsNothingUntilItIsTakenBack() {
    drained(0, "zone-a");
    for (int i = 0; i < 5; i++) {
      Action.Send send = arrive(1_000, 10).orElseThrow();
      assertEquals(Set.of("zone-b"), zonesOf(send));
      coordinator.attemptEvent(send.attempt(), AttemptEvent.ANSWERED, 15);
    }
    drained(20);
    assertEquals(Set.of("zone-a"), zonesOf(arrive(1_000, 20).orElseThrow()));
  }

  @Test
  void engineOfADrainedZoneDoesNotHelp() {
    assertEquals(Set.of("zone-a", "zone-b"), zonesOf(arrive(500_000, 0).orElseThrow()));
    drained(60_000, "zone-b");
    Endpoint free = engine("a-3", "zone-a");
    coordinator.updateEndpoints(List.of(free, engine("a-4", "zone-a"), engine("b-2", "zone-b")), 0);
    assertEquals(Set.of("zone-a"), zonesOf(arrive(400_000, 60_000).orElseThrow()));
  }

  @Test
  void helperWhoseZoneWasDrainedMeanwhileIsNotUsed() {
    restrictions.drainedZones().replace(Set.of("zone-b"));
    assertEquals(AttemptEvent.ZONE_DRAINED, restrictions.helperObstacle(engine("b-1", "zone-b")));
    assertEquals(null, restrictions.helperObstacle(engine("a-1", "zone-a")));
  }

  /** Guards against a final refusal of what can be served once the zone is taken back. */
  @Test
  void promptForWhichTheOtherZonesAreTooSmallIsNotRefusedAsTooLong() {
    drained(0, "zone-a");
    arrive(400_000, 0);
    assertFalse(refused().contains(RefusalKind.PROMPT_TOO_LONG));
  }

  /** A connection was being established when the drain became known. */
  @Test
  void unsentAttemptIsPlacedElsewhereWithoutRetryBudgetOrFailure() {
    Action.Send send = arrive(1_000, 0).orElseThrow();
    drained(1, "zone-a");
    actions.addAll(coordinator.attemptEvent(send.attempt(), AttemptEvent.ZONE_DRAINED, 1));
    Action.Send second = sent().orElseThrow();
    assertEquals(Set.of("zone-b"), zonesOf(second));
    coordinator.attemptEvent(second.attempt(), AttemptEvent.ANSWERED, 50);
    drained(60);
    assertEquals(Set.of("zone-a"), zonesOf(arrive(1_000, 60).orElseThrow()));
  }

  @Test
  void whatRunsThereContinues() {
    Action.Send send = arrive(1_000, 0).orElseThrow();
    coordinator.attemptEvent(send.attempt(), AttemptEvent.ANSWERING, 10);
    drained(20, "zone-a", "zone-b");
    assertTrue(actions.isEmpty(), () -> "ended: " + actions);
    coordinator.attemptEvent(send.attempt(), AttemptEvent.ANSWERED, 30);
    assertEquals(0, coordinator.openCount());
  }

  @Test
  void requestIsRefusedAtOnceAsNotRunIfAllZonesAreDrained() {
    drained(0, "zone-a", "zone-b");
    assertEquals(Optional.empty(), arrive(1_000, 10));
    assertEquals(List.of(RefusalKind.ZONES_DRAINED), refused());
    Refusal refusal = of(Action.Refuse.class).findFirst().orElseThrow().refusal();
    assertEquals(Ran.NO, refusal.ran());
    assertTrue(refusal.retryAfterMs() > 0, "the caller may ask again");
  }

  @Test
  void waitingRequestsAreRefusedOnceTheLastZoneIsDrained() {
    while (arrive(200_000, 0).isPresent()) {
      // Fills the engines.
    }
    int waiting = coordinator.waitingCount();
    assertTrue(waiting > 0);
    drained(10, "zone-a");
    assertEquals(List.of(), refused(), "the other zone remains");
    drained(20, "zone-a", "zone-b");
    assertEquals(waiting, refused().size());
    assertEquals(Set.of(RefusalKind.ZONES_DRAINED), Set.copyOf(refused()));
  }

  @Test
  void targetWithoutAnyEndpointIsNotCalledDrained() {
    coordinator.updateEndpoints(List.of(), 0);
    drained(0, "zone-a");
    arrive(1_000, 10);
    assertEquals(List.of(RefusalKind.NO_ENDPOINT), refused());
  }

  /** An engine that ends while its zone is drained is evidence against what it ran, as before. */
  @Test
  void endpointsOfADrainedZoneRemainInService() {
    EndpointRegistry registry =
        new EndpointRegistry(
            new RequestedBackoffs(),
            new EndpointPermits(new EndpointRateLimits()),
            restrictions.drainedZones());
    Endpoint engine = engine("a-1", "zone-a");
    registry.update(List.of(engine));
    restrictions.drainedZones().replace(Set.of("zone-a"));
    registry.zonesChanged();
    assertTrue(registry.isInService(engine.identity()));
    registry.update(List.of());
    assertFalse(registry.isInService(engine.identity()));
  }
}
