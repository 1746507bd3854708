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
import org.fawndrum.coordination.crash.CrashUpdate;
import org.fawndrum.coordination.crash.EndpointCrash;
import org.fawndrum.coordination.crash.RequestFingerprint;
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

/**
 * An endpoint that requested a backoff receives nothing until it ends, whatever else is reported
 * about the endpoint, and is not treated as failed.
 */
class RequestedBackoffsTest {
  private static final EngineProfile PROFILE =
      new EngineProfile(11, 232_000, 43, 1.02, 0.0033, 0.0043, 206, 0.138, 2_048, 0.075);
  private static final CallerGroup GROUP = new CallerGroup("desk", "ask");
  private static final HostIdentity FIRST = new HostIdentity("e-1", 1);
  private static final HostIdentity SECOND = new HostIdentity("e-2", 1);
  private static final long BACKOFF_MS = 3_000;

  private final RequestedBackoffs backoffs = new RequestedBackoffs();
  private final EndpointRegistry registry =
      new EndpointRegistry(
          backoffs, new EndpointPermits(new EndpointRateLimits()), new DrainedZones());
  private final RequestCoordinator coordinator =
      new RequestCoordinator(
          new HostIdentity("host-1", 1),
          "zone-a",
          Policies.engineModel(new EarnedRetryBudget(0.1, 10), () -> false, Set::of),
          new EndpointRestrictions(backoffs, new EndpointRateLimits(), new DrainedZones()));
  private final List<Action> actions = new ArrayList<>();
  private int requestCount;

  RequestedBackoffsTest() {
    Row row = Row.EMPTY.with(Column.DEADLINE_MS, new Cell("60000", 0, "ana"));
    coordinator.updateTable(new TableRevisionBuilder(0, 0).row(GROUP, row).build(), 0);
    coordinator.updateEndpoints(engines(FIRST, SECOND), 0);
    registry.update(engines(FIRST));
  }

  private static List<Endpoint> engines(HostIdentity... identities) {
    return Stream.of(identities).map(RequestedBackoffsTest::engine).toList();
  }

  private static Endpoint engine(HostIdentity identity) {
    return new Endpoint(
        identity,
        "zone-a",
        EndpointKind.MODEL,
        new HostAddress("127.0.0.1", 9_000),
        Set.of("pool"),
        PROFILE.memoryTokens(),
        Optional.of(PROFILE));
  }

  private boolean inBackoffAt(long nowMs) {
    return registry.state(FIRST).inRequestedBackoff(nowMs);
  }

  /** Handles a new request. Returns the send action, if any. */
  private Optional<Action.Send> arrive(long promptTokens, LatencyTargets targets, long nowMs) {
    RequestFacts facts =
        new RequestFacts(
            "r-" + ++requestCount,
            GROUP,
            new RequestTarget(EndpointKind.MODEL, "pool"),
            promptTokens,
            100,
            nowMs,
            0,
            true,
            List.of(),
            targets);
    actions.clear();
    actions.addAll(coordinator.arrive(facts, nowMs));
    return sent();
  }

  private Optional<Action.Send> arrive(long nowMs) {
    return arrive(5_000, new LatencyTargets(300, 250, 4), nowMs);
  }

  private Optional<Action.Send> sent() {
    return of(Action.Send.class).reduce((a, b) -> b);
  }

  private Optional<Refusal> refused() {
    return of(Action.Refuse.class).map(Action.Refuse::refusal).reduce((a, b) -> b);
  }

  private <T> Stream<T> of(Class<T> kind) {
    return actions.stream().filter(kind::isInstance).map(kind::cast);
  }

  @Test
  void endsAtTheRequestedTime() {
    backoffs.requested(FIRST, BACKOFF_MS, 0);
    assertTrue(inBackoffAt(2_999));
    assertFalse(inBackoffAt(3_000));
  }

  @Test
  void wholeAnswerDoesNotEndIt() {
    backoffs.requested(FIRST, BACKOFF_MS, 0);
    registry.state(FIRST).recordSuccess();
    assertTrue(inBackoffAt(1));
  }

  @Test
  void secondRequestExtendsButDoesNotShortenIt() {
    backoffs.requested(FIRST, BACKOFF_MS, 0);
    backoffs.requested(FIRST, 100, 1_000);
    assertTrue(inBackoffAt(2_999));
    backoffs.requested(FIRST, BACKOFF_MS, 2_000);
    assertTrue(inBackoffAt(4_999));
    assertFalse(inBackoffAt(5_000));
  }

  /**
   * Guards against this failure: a restarted endpoint requested a backoff before any host knew of
   * the restart. The backoff was stored for the earlier incarnation, and was lost when the list
   * named the later one.
   */
  @Test
  void appliesToAnIncarnationDiscoveredAfterTheRequest() {
    backoffs.requested(FIRST, BACKOFF_MS, 0);
    assertTrue(laterIncarnationInBackoffAt(2_999));
    assertFalse(laterIncarnationInBackoffAt(3_000));
    assertFalse(backoffs.isActive(new HostIdentity("e-1", 0), 1), "earlier incarnation");
  }

  @Test
  void doesNotApplyToAnIncarnationAfterAnObservedTermination() {
    backoffs.requested(FIRST, BACKOFF_MS, 0);
    registry.terminated(FIRST, 10);
    assertFalse(laterIncarnationInBackoffAt(11));
    assertFalse(inBackoffAt(11));
  }

  /**
   * Guards against this failure: a restarted endpoint requested a backoff. 1.1 s later another host
   * discovered the restart and reported the termination of the earlier incarnation with that time,
   * which ended the backoff.
   */
  @Test
  void terminationReportedByAnotherHostDoesNotEndIt() {
    backoffs.requested(FIRST, BACKOFF_MS, 0);
    EndpointCrash reported =
        new EndpointCrash(FIRST, 900, 1_100, Set.of(new RequestFingerprint(1, 2, 3)));
    CrashUpdate update = new CrashUpdate(List.of(reported), List.of(), List.of(), List.of());
    coordinator.suspectedRequests(suspected -> suspected.applyUpdate(update, 1_150), 1_150);
    assertTrue(laterIncarnationInBackoffAt(2_999));
  }

  @Test
  void terminationBeforeTheRequestDoesNotEndIt() {
    backoffs.requested(FIRST, BACKOFF_MS, 10);
    registry.terminated(FIRST, 5);
    assertTrue(laterIncarnationInBackoffAt(11));
    assertTrue(inBackoffAt(11));
  }

  @Test
  void doesNotApplyToAnIncarnationDiscoveredMuchLater() {
    backoffs.requested(FIRST, 10 * RequestedBackoffs.MAX_DISCOVERY_DELAY_MS, 0);
    assertTrue(laterIncarnationInBackoffAt(RequestedBackoffs.MAX_DISCOVERY_DELAY_MS - 1));
    assertFalse(laterIncarnationInBackoffAt(RequestedBackoffs.MAX_DISCOVERY_DELAY_MS));
    assertTrue(inBackoffAt(RequestedBackoffs.MAX_DISCOVERY_DELAY_MS));
    backoffs.requested(new HostIdentity("e-1", 2), 100, RequestedBackoffs.MAX_DISCOVERY_DELAY_MS);
    assertTrue(laterIncarnationInBackoffAt(RequestedBackoffs.MAX_DISCOVERY_DELAY_MS + 99));
    assertFalse(laterIncarnationInBackoffAt(RequestedBackoffs.MAX_DISCOVERY_DELAY_MS + 100));
  }

  private boolean laterIncarnationInBackoffAt(long nowMs) {
    HostIdentity later = new HostIdentity("e-1", 2);
    registry.update(engines(FIRST, later));
    return registry.state(later).inRequestedBackoff(nowMs);
  }

  @Test
  void survivesATemporaryAbsenceFromTheList() {
    backoffs.requested(FIRST, BACKOFF_MS, 0);
    registry.update(List.of());
    registry.update(engines(FIRST));
    assertTrue(inBackoffAt(1));
  }

  @Test
  void isRemovedAfterItEnds() {
    for (int i = 0; i < 1_000; i++) {
      backoffs.requested(new HostIdentity("e-" + i, 1), 10, 100L * i);
    }
    assertEquals(1, backoffs.activeCount(99_900));
  }

  @Test
  void isNotCountedAsAFailure() {
    Action.Send send = arrive(0).orElseThrow();
    backoffs.requested(send.endpoint().identity(), 100, 1);
    actions.addAll(coordinator.attemptEvent(send.attempt(), AttemptEvent.REFUSED_BY_ENDPOINT, 1));
    HostIdentity other = sent().orElseThrow().endpoint().identity();
    assertFalse(other.equals(send.endpoint().identity()), "sent to the same endpoint again");
    backoffs.requested(other, BACKOFF_MS, 1);
    // The requested backoff ends long before the failure backoff after one failure would.
    assertEquals(send.endpoint(), arrive(101).orElseThrow().endpoint());
  }

  @Test
  void unsentAttemptIsRetriedElsewhereWithoutFailureOrRetryBudget() {
    Action.Send send = arrive(0).orElseThrow();
    backoffs.requested(send.endpoint().identity(), 100, 1);
    actions.addAll(coordinator.attemptEvent(send.attempt(), AttemptEvent.ENDPOINT_BACKOFF, 1));
    Action.Send second = sent().orElseThrow();
    assertFalse(second.endpoint().equals(send.endpoint()), "sent to an endpoint in backoff");
    actions.addAll(
        coordinator.attemptEvent(second.attempt(), AttemptEvent.REFUSED_BY_ENDPOINT, 101));
    assertEquals(send.endpoint(), sent().orElseThrow().endpoint());
  }

  private static Set<HostIdentity> participants(Action.Send send) {
    Stream<Endpoint> helpers = send.helpers().stream().map(Action.Helper::endpoint);
    return Stream.concat(Stream.of(send.endpoint()), helpers)
        .map(Endpoint::identity)
        .collect(Collectors.toSet());
  }

  @Test
  void endpointInBackoffIsNotAHelper() {
    HostIdentity third = new HostIdentity("e-3", 1);
    LatencyTargets targets = new LatencyTargets(2_500, 1_000, 4);
    coordinator.updateEndpoints(engines(FIRST, SECOND, third, new HostIdentity("e-4", 1)), 0);
    Action.Send first = arrive(200_000, targets, 0).orElseThrow();
    assertTrue(participants(first).contains(third), () -> "prefilled by " + participants(first));
    coordinator.attemptEvent(first.attempt(), AttemptEvent.ANSWERED, 900);
    backoffs.requested(third, BACKOFF_MS, 1_000);
    Action.Send second = arrive(200_000, targets, 1_000).orElseThrow();
    assertFalse(participants(second).contains(third));
    assertFalse(second.helpers().isEmpty(), "prefilled by one engine");
  }

  private void allInBackoff(long backoffMs) {
    backoffs.requested(FIRST, backoffMs, 0);
    backoffs.requested(SECOND, BACKOFF_MS, 0);
  }

  @Test
  void refusalNamesTheEndOfTheShortestBackoff() {
    allInBackoff(700);
    assertEquals(Optional.empty(), arrive(100));
    Refusal refusal = refused().orElseThrow();
    assertEquals(RefusalKind.ENDPOINTS_REST, refusal.kind());
    assertEquals(Ran.NO, refusal.ran());
    assertEquals(600, refusal.retryAfterMs());
    assertEquals(0, coordinator.openCount());
  }

  @Test
  void retryDelayIsLimitedWhenAllBackoffsAreLong() {
    allInBackoff(3_600_000);
    backoffs.requested(SECOND, 3_600_000, 0);
    arrive(100);
    assertEquals(1_000, refused().orElseThrow().retryAfterMs());
  }

  @Test
  void requestWaitsForABackoffThatEndsInTime() {
    allInBackoff(150);
    assertEquals(Optional.empty(), arrive(100));
    assertEquals(1, coordinator.waitingCount());
    actions.addAll(coordinator.tick(160));
    assertEquals(FIRST, sent().orElseThrow().endpoint().identity());
  }

  @Test
  void waitingRequestIsRefusedWhenTheLastEndpointRequestsABackoff() {
    allInBackoff(150);
    arrive(100);
    backoffs.requested(FIRST, BACKOFF_MS, 110);
    actions.addAll(coordinator.restrictionsChanged(110));
    assertEquals(RefusalKind.ENDPOINTS_REST, refused().orElseThrow().kind());
    assertEquals(0, coordinator.openCount());
  }

  @Test
  void waitingRequestIsRefusedWhenTheLastEndpointDrains() {
    allInBackoff(150);
    arrive(100);
    actions.addAll(coordinator.updateEndpoints(List.of(), 110));
    assertEquals(RefusalKind.NO_ENDPOINT, refused().orElseThrow().kind());
    assertEquals(Ran.NO, refused().orElseThrow().ran());
    assertEquals(0, coordinator.openCount());
  }

  @Test
  void requestThatMayHaveRunIsNotReportedAsNotRun() {
    Action.Send send = arrive(0).orElseThrow();
    backoffs.requested(FIRST, BACKOFF_MS, 1);
    backoffs.requested(SECOND, BACKOFF_MS, 1);
    actions.addAll(coordinator.attemptEvent(send.attempt(), AttemptEvent.LOST, 1));
    assertEquals(Ran.UNKNOWN, refused().orElseThrow().ran());
    assertEquals(RefusalKind.ENDPOINT_FAILED, refused().orElseThrow().kind());
  }
}
