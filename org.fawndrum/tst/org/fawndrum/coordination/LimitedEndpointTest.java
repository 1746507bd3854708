// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.fawndrum.coordination.limit.EndpointPermits;
import org.fawndrum.coordination.limit.EndpointRateLimits;
import org.fawndrum.coordination.limit.EndpointRateLimits.Statement;
import org.fawndrum.coordination.limit.PermitDemand;
import org.fawndrum.coordination.limit.PermitGrant;
import org.fawndrum.state.CallerGroup;
import org.fawndrum.state.Cell;
import org.fawndrum.state.Column;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.EndpointKind;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.LatencyTargets;
import org.fawndrum.state.Row;
import org.fawndrum.state.TableRevisionBuilder;
import org.junit.jupiter.api.Test;

/**
 * Verifies what a host decides for requests whose endpoints accept a number of requests a second
 * only: another endpoint, a short wait for a permit, or a refusal at once.
 */
class LimitedEndpointTest {
  private static final CallerGroup GROUP = new CallerGroup("desk", "look");
  private static final long TARGET_MS = 900;

  private final EndpointRateLimits limits = new EndpointRateLimits();
  private final RequestCoordinator coordinator =
      new RequestCoordinator(
          new HostIdentity("host-1", 1),
          "zone-a",
          Policies.engineModel(new EarnedRetryBudget(0.1, 10), () -> false, Set::of),
          new EndpointRestrictions(new RequestedBackoffs(), limits, new DrainedZones()));
  private final List<Action> actions = new ArrayList<>();
  private int requestCount;

  LimitedEndpointTest() {
    Row row = Row.EMPTY.with(Column.DEADLINE_MS, new Cell("60000", 0, "ana"));
    coordinator.updateTable(new TableRevisionBuilder(0, 0).row(GROUP, row).build(), 0);
  }

  private void endpoints(String... names) {
    List<Endpoint> endpoints =
        Stream.of(names)
            .map(
                name ->
                    new Endpoint(
                        new HostIdentity(name, 1),
                        "zone-a",
                        EndpointKind.PLAIN,
                        new HostAddress("127.0.0.1", 9_000),
                        Set.of("orders"),
                        0))
            .toList();
    coordinator.updateEndpoints(endpoints, 0);
  }

  private void limit(String endpoint) {
    limits.answered(new Statement(endpoint, 2, 0, 0));
  }

  /** Handles a new request; returns the endpoint that it is sent to, if any. */
  private Optional<String> arrive(long nowMs) {
    RequestFacts facts =
        new RequestFacts(
            "r-" + ++requestCount,
            GROUP,
            new RequestTarget(EndpointKind.PLAIN, "orders"),
            0,
            0,
            nowMs,
            0,
            true,
            List.of(),
            new LatencyTargets(TARGET_MS, 0, 0));
    actions.clear();
    actions.addAll(coordinator.arrive(facts, nowMs));
    return sentTo();
  }

  private Optional<String> sentTo() {
    return of(Action.Send.class).map(send -> send.endpoint().name()).reduce((a, b) -> b);
  }

  private <T> Stream<T> of(Class<T> kind) {
    return actions.stream().filter(kind::isInstance).map(kind::cast);
  }

  private List<PermitDemand> demands() {
    return of(Action.DemandPermits.class).flatMap(wanted -> wanted.demands().stream()).toList();
  }

  private List<Refusal> refusals() {
    return of(Action.Refuse.class).map(Action.Refuse::refusal).toList();
  }

  /** Answers the last demand. */
  private void grant(int permits, long firstMs, long gapMs, long nowMs) {
    PermitDemand demand = demands().get(demands().size() - 1);
    PermitGrant grant = new PermitGrant(demand.endpoint(), demand.id(), permits, 0, firstMs, gapMs);
    actions.clear();
    actions.addAll(coordinator.permitsGranted(List.of(grant), nowMs));
  }

  @Test
  void anotherEndpointTakesARequestAtOnceAndAPermitIsDemandedForLater() {
    endpoints("e-1", "e-2");
    limit("e-1");
    assertEquals(Optional.of("e-2"), arrive(0));
    assertEquals(1, demands().size());
    assertFalse(demands().get(0).urgent());
    grant(1, 500, 500, 5);
    assertEquals(Optional.of("e-1"), arrive(10), "the permit is not used");
    assertEquals(Optional.of("e-2"), arrive(20), "a permit is used twice");
  }

  @Test
  void anExpiredPermitIsNotUsed() {
    endpoints("e-1", "e-2");
    limit("e-1");
    arrive(0);
    grant(1, 500, 500, 400);
    assertEquals(Optional.of("e-2"), arrive(501));
  }

  @Test
  void aPermitOfALateGrantIsNotUsed() {
    endpoints("e-1", "e-2");
    limit("e-1");
    arrive(0);
    grant(1, 500, 500, 10_000);
    assertEquals(Optional.of("e-2"), arrive(10_000));
  }

  @Test
  void aRequestWaitsForAPermitThatComesInTime() {
    endpoints("e-1");
    limit("e-1");
    assertEquals(Optional.empty(), arrive(0));
    assertTrue(demands().get(0).urgent());
    Decision waiting = of(Action.RecordDecision.class).reduce((a, b) -> b).get().decision();
    assertEquals(Reason.ENDPOINTS_LIMITED, waiting.reason());
    assertEquals("e-1", waiting.passedOver().get(0).endpoint());
    PermitDemand demand = demands().get(0);
    grant(0, 600, 500, 5);
    assertEquals(List.of(), refusals());
    PermitGrant later = new PermitGrant("e-1", demand.id(), 1, 600, 500, 500);
    actions.addAll(coordinator.permitsGranted(List.of(later), 605));
    assertEquals(Optional.of("e-1"), sentTo());
    assertEquals(1_100, of(Action.Send.class).findFirst().get().permitEndMs());
  }

  @Test
  void requestsThatCannotBeServedInTimeAreRefusedAtOnceAndTheOthersWait() {
    endpoints("e-1");
    limit("e-1");
    for (int i = 0; i < 4; i++) {
      arrive(0);
      assertEquals(List.of(), refusals(), "nothing is known yet");
    }
    coordinator.tick(0);
    actions.clear();
    actions.add(new Action.DemandPermits(List.of(new PermitDemand("e-1", 1, 1, true, 0))));
    // The first at 300, the second at 800, the others too late.
    grant(0, 300, 500, 0);
    assertEquals(2, refusals().size());
    for (Refusal refusal : refusals()) {
      assertEquals(RefusalKind.ENDPOINTS_LIMITED, refusal.kind());
      assertEquals(Ran.NO, refusal.ran());
    }
    assertEquals(2, refusals().stream().map(Refusal::retryAfterMs).distinct().count());
    assertEquals(2, coordinator.waitingCount());
    arrive(10);
    assertTrue(refusals().get(0).retryAfterMs() > 500, refusals().toString());
  }

  @Test
  void withoutAnIssuerRequestsAreRefusedAndItIsTriedAgain() {
    endpoints("e-1");
    limit("e-1");
    arrive(0);
    grant(0, PermitGrant.NOT_ISSUED, 0, 5);
    assertEquals(List.of(RefusalKind.ENDPOINTS_LIMITED), kinds(), "it comes too late");
    arrive(50);
    assertEquals(List.of(RefusalKind.ENDPOINTS_LIMITED), kinds());
    arrive(1_100);
    assertEquals(List.of(), refusals(), "it is not tried again");
    assertEquals(1, demands().size());
  }

  private List<RefusalKind> kinds() {
    return refusals().stream().map(Refusal::kind).toList();
  }

  @Test
  void anIssuerThatDoesNotAnswerIsTriedAgainToo() {
    endpoints("e-1");
    limit("e-1");
    arrive(0);
    arrive(501);
    assertEquals(List.of(RefusalKind.ENDPOINTS_LIMITED), kinds());
    arrive(1_501);
    assertEquals(List.of(), refusals());
  }

  @Test
  void aDemandIsWithdrawnWhenItsCallersLeave() {
    endpoints("e-1");
    limit("e-1");
    arrive(0);
    actions.addAll(coordinator.callerGone("r-1", 10));
    assertEquals(0, demands().get(demands().size() - 1).permits());
    arrive(2_000);
    assertEquals(List.of(), refusals(), "a withdrawn demand was taken for an unanswered one");
  }

  @Test
  void anAttemptThatCameTooLateForItsPermitCountsAsNoFailure() {
    endpoints("e-1", "e-2");
    limit("e-1");
    arrive(0);
    grant(2, 500, 500, 5);
    arrive(10);
    Action.Send send = of(Action.Send.class).findFirst().get();
    actions.clear();
    actions.addAll(coordinator.attemptEvent(send.attempt(), AttemptEvent.ENDPOINT_LIMITED, 20));
    assertEquals(Optional.of("e-1"), sentTo(), "the endpoint is excluded or in a failure backoff");
  }

  @Test
  void anEndpointWithoutRateNeedsNoPermit() {
    endpoints("e-1");
    assertEquals(Optional.of("e-1"), arrive(0));
    assertEquals(EndpointPermits.NO_PERMIT, of(Action.Send.class).findFirst().get().permitEndMs());
    assertEquals(List.of(), demands());
  }
}
