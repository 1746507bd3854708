// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fawndrum.coordination.engine.EngineJob;
import org.fawndrum.coordination.engine.EngineUpdate;
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
import org.fawndrum.state.HostListing;
import org.fawndrum.state.LatencyTargets;
import org.fawndrum.state.Row;
import org.fawndrum.state.TableRevisionBuilder;
import org.junit.jupiter.api.Test;

/**
 * All state that a host keeps about an endpoint ends with the incarnation that it describes. An
 * endpoint keeps its id and address over its incarnations.
 */
class EndpointRestartTest {
  private static final EngineProfile PROFILE =
      new EngineProfile(11, 232_000, 43, 1.02, 0.0033, 0.0043, 206, 0.138, 2_048, 0.075);
  private static final CallerGroup GROUP = new CallerGroup("desk", "ask");
  private static final HostIdentity PEER = new HostIdentity("host-2", 1);
  private static final LatencyTargets TARGETS = new LatencyTargets(2_500, 1_000, 2);

  private final EndpointRegistry registry =
      new EndpointRegistry(
          new RequestedBackoffs(),
          new EndpointPermits(new EndpointRateLimits()),
          new DrainedZones());
  private final EngineWork engineWork =
      new EngineWork(new HostIdentity("host-1", 1), registry, new ArrayList<>());
  private final EndpointEligibility eligibility = new EndpointEligibility();
  private final RequestCoordinator coordinator =
      new RequestCoordinator(
          new HostIdentity("host-1", 1),
          "zone-a",
          Policies.engineModel(new EarnedRetryBudget(0.1, 10), () -> false, Set::of));
  private final List<Action> actions = new ArrayList<>();

  EndpointRestartTest() {
    Row row = Row.EMPTY.with(Column.DEADLINE_MS, new Cell("60000", 0, "ana"));
    coordinator.updateTable(new TableRevisionBuilder(0, 0).row(GROUP, row).build(), 0);
    registry.update(List.of(engine("e-1", 1)));
  }

  private static Endpoint engine(String name, long incarnation) {
    return new Endpoint(
        new HostIdentity(name, incarnation),
        "zone-a",
        EndpointKind.MODEL,
        new HostAddress("127.0.0.1", 9_000),
        Set.of("pool"),
        PROFILE.memoryTokens(),
        Optional.of(PROFILE));
  }

  private EndpointState state(long incarnation) {
    return registry.state(new HostIdentity("e-1", incarnation));
  }

  private void restart() {
    registry.update(List.of(engine("e-1", 2)));
  }

  private static EngineJob job(long id, long incarnation) {
    return new EngineJob(
        id, new HostIdentity("e-1", incarnation), 50_000, 50_000, 1, true, TARGETS, 0);
  }

  private void applyUpdate(EngineUpdate update) {
    engineWork.applyUpdate(PEER, update, 10);
  }

  @Test
  void peerWorkAndMemoryEndWithTheIncarnation() {
    applyUpdate(new EngineUpdate.Placed(job(7, 1)));
    assertEquals(50_000, state(1).load().memoryTokens());
    restart();
    assertEquals(0, state(2).load().jobCount());
    assertEquals(0, state(2).load().memoryTokens());
  }

  @Test
  void lateOrRepeatedUpdatesDoNotApplyToTheNewIncarnation() {
    EngineUpdate.Placed placed = new EngineUpdate.Placed(job(7, 1));
    applyUpdate(placed);
    restart();
    applyUpdate(placed);
    engineWork.replaceAll(PEER, List.of(placed), 20);
    assertEquals(0, state(2).load().jobCount());
  }

  @Test
  void workCountsAgainAfterATemporaryAbsenceFromTheList() {
    EngineUpdate.Placed placed = new EngineUpdate.Placed(job(7, 1));
    applyUpdate(placed);
    registry.update(List.of());
    registry.update(List.of(engine("e-1", 1)));
    assertEquals(0, state(1).load().jobCount());
    engineWork.replaceAll(PEER, List.of(placed), 20);
    engineWork.replaceAll(PEER, List.of(placed), 30);
    assertEquals(1, state(1).load().jobCount());
    engineWork.replaceAll(PEER, List.of(), 40);
    assertEquals(0, state(1).load().jobCount());
  }

  @Test
  void failureBackoffEndsWithTheIncarnation() {
    for (int i = 0; i < 4; i++) {
      state(1).recordFailure(0);
    }
    assertTrue(state(1).inFailureBackoff(100));
    restart();
    assertFalse(state(2).inFailureBackoff(100));
  }

  @Test
  void lateFailureReportsDoNotApplyToTheNewIncarnation() {
    applyUpdate(new EngineUpdate.Placed(job(7, 1)));
    restart();
    applyUpdate(new EngineUpdate.Completed(7, true));
    assertFalse(state(2).inFailureBackoff(11));
    engineWork.endpointFailed(new HostIdentity("e-1", 1), 10);
    assertFalse(state(2).inFailureBackoff(11));
  }

  @Test
  void cachedPrefixesEndWithTheIncarnation() {
    state(1).prefixes().stored(List.of(4L, 5L));
    restart();
    assertEquals(0, state(2).prefixes().matchingBlocks(List.of(4L, 5L)));
  }

  @Test
  void slownessEndsWithTheIncarnation() {
    EngineJob slow = job(7, 1);
    state(1).load().add(slow, 0);
    state(1).load().recordFirstToken(7, 20_000);
    assertTrue(state(1).load().slowness(20_000) > 1.5);
    restart();
    assertEquals(1, state(2).load().slowness(20_000));
  }

  /** Returns a backlog of prompt tokens at the lowest priority. */
  private static long[] backlog(long tokens) {
    long[] backlog = new long[LoadReport.PRIORITIES];
    backlog[0] = tokens;
    return backlog;
  }

  @Test
  void reportedLoadEndsWithTheIncarnation() {
    state(1).loadReported(new LoadReport(9, backlog(100_000), 0, 3, 1_000), 0);
    restart();
    assertEquals(0, state(2).backlogFrom(0, 0));
    assertEquals(PROFILE.memoryTokens(), state(2).freeTokens());
    state(2).loadReported(new LoadReport(1, backlog(500), 10, 1, 1_000), 5);
    assertEquals(500, state(2).backlogFrom(0, 5));
  }

  @Test
  void drainingEndsWithTheIncarnation() {
    HostIdentity first = new HostIdentity("e-1", 1);
    eligibility.updateListing(listing(1, engine("e-1", 1), Set.of(first)));
    assertEquals(List.of(), eligibility.eligible());
    eligibility.updateListing(listing(2, engine("e-1", 2), Set.of()));
    assertEquals(1, eligibility.eligible().size());
    assertFalse(eligibility.markDraining(first), "outdated");
    assertEquals(1, eligibility.eligible().size());
  }

  private static HostListing listing(long version, Endpoint endpoint, Set<HostIdentity> draining) {
    return new HostListing(version, List.of(endpoint), draining, List.of());
  }

  @Test
  void reportedRestartIsNewOnceAndOnlyForListedEndpoints() {
    assertFalse(eligibility.incarnationReported(new HostIdentity("e-1", 2)), "not listed");
    eligibility.updateListing(listing(1, engine("e-1", 1), Set.of()));
    assertTrue(eligibility.incarnationReported(new HostIdentity("e-1", 2)));
    assertFalse(eligibility.incarnationReported(new HostIdentity("e-1", 2)), "twice");
    assertFalse(eligibility.incarnationReported(new HostIdentity("e-1", 1)), "late");
    assertTrue(eligibility.isSuperseded(new HostIdentity("e-1", 1)));
    assertEquals(2, eligibility.eligible().get(0).incarnation());
    // A list that lags behind and still names the earlier incarnation.
    eligibility.updateListing(listing(2, engine("e-1", 1), Set.of()));
    assertEquals(2, eligibility.eligible().get(0).incarnation());
  }

  private RequestFacts request(long promptTokens, boolean repeatable) {
    return new RequestFacts(
        "r-1",
        GROUP,
        new RequestTarget(EndpointKind.MODEL, "pool"),
        promptTokens,
        100,
        0,
        0,
        repeatable,
        List.of(),
        TARGETS);
  }

  private Action.Send sent() {
    return (Action.Send)
        actions.stream().filter(Action.Send.class::isInstance).reduce((a, b) -> b).orElseThrow();
  }

  private void arrive(long promptTokens, boolean repeatable, String... engines) {
    coordinator.updateEndpoints(List.of(engines).stream().map(name -> engine(name, 1)).toList(), 0);
    actions.addAll(coordinator.arrive(request(promptTokens, repeatable), 0));
  }

  /** Restarts one engine, and records only the actions that follow. */
  private void restart(String restarted, String... engines) {
    actions.clear();
    List<Endpoint> endpoints =
        List.of(engines).stream()
            .map(name -> engine(name, name.equals(restarted) ? 2 : 1))
            .toList();
    actions.addAll(coordinator.updateEndpoints(endpoints, 50));
    HostIdentity superseded = new HostIdentity(restarted, 1);
    actions.addAll(coordinator.endpointsRestarted(superseded::equals, 50));
    actions.removeIf(
        action ->
            action instanceof Action.RecordDecision || action instanceof Action.BroadcastWork);
  }

  @Test
  void attemptInFlightIsRetriedPossiblyAtTheSameEndpoint() {
    arrive(5_000, true, "e-1");
    restart("e-1", "e-1");
    assertEquals(2, actions.size(), () -> "cancelled and sent: " + actions);
    assertEquals(new HostIdentity("e-1", 2), sent().endpoint().identity());
  }

  @Test
  void nonRepeatableRequestIsRefusedAtOnce() {
    arrive(5_000, false, "e-1");
    restart("e-1", "e-1");
    assertEquals(2, actions.size(), () -> "cancelled and refused: " + actions);
    Action.Refuse refused = (Action.Refuse) actions.get(1);
    assertEquals(Ran.UNKNOWN, refused.refusal().ran());
    assertEquals(0, coordinator.openCount());
  }

  /**
   * Guards against this failure: an answer was truncated 1 ms after its first token, when the list
   * named a later incarnation of its engine. That incarnation was the one generating the answer.
   */
  @Test
  void answerThatHasBegunContinues() {
    arrive(5_000, true, "e-1");
    coordinator.attemptEvent(sent().attempt(), AttemptEvent.ANSWERING, 40);
    restart("e-1", "e-1");
    assertEquals(List.of(), actions);
    assertEquals(1, coordinator.openCount());
  }

  @Test
  void attemptAtAnotherEndpointContinues() {
    arrive(5_000, true, "e-1", "e-2");
    String unaffected = sent().endpoint().name().equals("e-1") ? "e-2" : "e-1";
    restart(unaffected, "e-1", "e-2");
    assertEquals(List.of(), actions);
  }

  @Test
  void attemptIsRetriedWhenAHelperHoldingMemoryRestarts() {
    arrive(300_000, true, "e-1", "e-2");
    String helper = sent().helpers().get(0).endpoint().name();
    actions.addAll(coordinator.attemptEvent(sent().attempt(), AttemptEvent.ANSWERING, 40));
    restart(helper, "e-1", "e-2");
    assertTrue(actions.get(0) instanceof Action.Cancel, () -> "first of " + actions);
  }

  @Test
  void attemptContinuesWhenAHelperRestartsAfterPrefill() {
    String[] engines = {"e-1", "e-2", "e-3", "e-4"};
    arrive(200_000, true, engines);
    List<Action.Helper> helpers = sent().helpers();
    assertFalse(helpers.isEmpty(), "prefilled by one engine");
    assertEquals(0, helpers.get(0).memoryTokens());
    actions.addAll(coordinator.attemptEvent(sent().attempt(), AttemptEvent.ANSWERING, 40));
    restart(helpers.get(0).endpoint().name(), engines);
    assertEquals(List.of(), actions);
  }
}
