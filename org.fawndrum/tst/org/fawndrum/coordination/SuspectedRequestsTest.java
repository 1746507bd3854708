// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.fawndrum.coordination.crash.CrashUpdate;
import org.fawndrum.coordination.crash.EndpointCrash;
import org.fawndrum.coordination.crash.RequestFingerprint;
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

/** The handling of requests that crash endpoints, in every state that a request can be in. */
class SuspectedRequestsTest {
  private static final EngineProfile PROFILE =
      new EngineProfile(11, 232_000, 43, 1.02, 0.0033, 0.0043, 206, 0.138, 2_048, 0.075);
  private static final CallerGroup GROUP = new CallerGroup("desk", "ask");
  private static final LatencyTargets TARGETS = new LatencyTargets(300, 250, 2);

  /**
   * Time after which a crashed endpoint is back and no longer in failure backoff, in milliseconds.
   */
  private static final long RESTART_MS = 600;

  /** Longer than the gap between crashes of one burst, and than a crash takes to settle, in ms. */
  private static final long SETTLED_MS = 250;

  private final RequestCoordinator coordinator =
      new RequestCoordinator(
          new HostIdentity("host-1", 1),
          "zone-a",
          Policies.engineModel(new EarnedRetryBudget(0.1, 10), () -> false, Set::of));
  private long nowMs = 1_000;

  SuspectedRequestsTest() {
    Row row = Row.EMPTY.with(Column.DEADLINE_MS, new Cell("10000", 0, "ana"));
    coordinator.updateTable(new TableRevisionBuilder(0, 0).row(GROUP, row).build(), nowMs);
    updateEndpoints(6);
  }

  private void updateEndpoints(int engines) {
    coordinator.updateEndpoints(
        IntStream.range(0, engines).mapToObj(SuspectedRequestsTest::engine).toList(), nowMs);
  }

  private static Endpoint engine(int number) {
    return new Endpoint(
        new HostIdentity("e-" + number, 1),
        "zone-a",
        EndpointKind.MODEL,
        new HostAddress("127.0.0.1", 9_000 + number),
        Set.of("pool"),
        PROFILE.memoryTokens(),
        Optional.of(PROFILE));
  }

  private List<Action> arrive(String id, long content) {
    RequestTarget pool = new RequestTarget(EndpointKind.MODEL, "pool");
    return sendsAndRefusals(
        coordinator.arrive(
            new RequestFacts(
                id,
                GROUP,
                pool,
                500,
                100,
                nowMs,
                0,
                true,
                List.of(),
                TARGETS,
                new NumberedContent(content)),
            nowMs));
  }

  /** Returns only the actions that send or refuse a request. */
  private static List<Action> sendsAndRefusals(List<Action> actions) {
    return actions.stream()
        .filter(action -> action instanceof Action.Send || action instanceof Action.Refuse)
        .toList();
  }

  private static Action.Send sent(List<Action> actions) {
    assertEquals(1, actions.size(), actions.toString());
    return (Action.Send) actions.get(0);
  }

  private static Refusal refused(List<Action> actions) {
    assertEquals(1, actions.size(), actions.toString());
    return ((Action.Refuse) actions.get(0)).refusal();
  }

  /** The endpoint of an attempt crashes while it runs. */
  private List<Action> crashEndpoint(Action.Send send) {
    List<Action> actions = new ArrayList<>(coordinator.endpointTerminated(send.attempt(), nowMs));
    actions.addAll(coordinator.attemptEvent(send.attempt(), AttemptEvent.LOST, nowMs));
    return sendsAndRefusals(actions);
  }

  private List<Action> advance() {
    nowMs += SETTLED_MS;
    return sendsAndRefusals(coordinator.tick(nowMs));
  }

  /** Another host reports the crash of an endpoint while it ran a request. */
  private List<Action> crashReportedByPeer(String endpoint, long content) {
    RequestFingerprint request = new NumberedContent(content).computeFingerprint();
    EndpointCrash crash =
        new EndpointCrash(new HostIdentity(endpoint, 1), nowMs, nowMs, Set.of(request));
    CrashUpdate update = new CrashUpdate(List.of(crash), List.of(), List.of(), List.of());
    return sendsAndRefusals(
        coordinator.suspectedRequests(suspected -> suspected.applyUpdate(update, nowMs), nowMs));
  }

  private void twoCrashesElsewhere(long content) {
    crashReportedByPeer("f-1", content);
    advance();
    crashReportedByPeer("f-2", content);
    advance();
  }

  @Test
  void requestIsRejectedFromTheThirdCrashOn() {
    twoCrashesElsewhere(1);
    Action.Send send = sent(arrive("r-1", 1));
    assertEquals(List.of(), crashEndpoint(send), "sent again before the crash has settled");
    Refusal first = refused(advance());
    assertEquals(RefusalKind.ENDS_ENDPOINTS, first.kind());
    assertEquals(Ran.UNKNOWN, first.ran());
    assertEquals(Refusal.NEVER, first.retryAfterMs());
    Refusal next = refused(arrive("r-2", 1));
    assertEquals(RefusalKind.ENDS_ENDPOINTS, next.kind());
    assertEquals(Ran.NO, next.ran());
    sent(arrive("r-3", 2));
    assertEquals(1, coordinator.openCount());
  }

  @Test
  void heldRequestDoesNotDelayOthers() {
    twoCrashesElsewhere(1);
    crashReportedByPeer("f-3", 1);
    assertEquals(List.of(), arrive("r-1", 1));
    sent(arrive("r-2", 2));
    assertEquals(Ran.NO, refused(advance()).ran());
  }

  @Test
  void heldRequestIsSentAfterACopyWasAnswered() {
    Action.Send elsewhere = sent(arrive("r-1", 1));
    twoCrashesElsewhere(1);
    crashReportedByPeer("f-3", 1);
    assertEquals(List.of(), arrive("r-2", 1));
    List<Action> actions =
        sendsAndRefusals(
            coordinator.attemptEvent(elsewhere.attempt(), AttemptEvent.ANSWERED, nowMs));
    assertEquals("r-2", sent(actions).attempt().requestId());
  }

  @Test
  void waitingRequestIsRejectedToo() {
    List<Action> earlierSends = new ArrayList<>();
    for (int i = 0; i < 400 && coordinator.waitingCount() == 0; i++) {
      earlierSends.addAll(arrive("r-" + i, 1));
    }
    assertEquals(1, coordinator.waitingCount());
    twoCrashesElsewhere(1);
    crashReportedByPeer("f-3", 1);
    assertTrue(
        advance().stream().anyMatch(action -> action instanceof Action.Refuse), "still waiting");
    assertEquals(0, coordinator.waitingCount());
  }

  /** Reports three crashes under a request and one without it, so that more are needed. */
  private void threeCrashesAmongOthers(long content) {
    crashReportedByPeer("x-1", 99);
    advance();
    twoCrashesElsewhere(content);
    crashReportedByPeer("f-3", content);
    advance();
  }

  @Test
  void oneCopyRunsAtATimeAndTheNextAfterARefusal() {
    threeCrashesAmongOthers(1);
    assertEquals(List.of(), arrive("r-1", 1));
    assertEquals(List.of(), arrive("r-2", 1));
    Action.Send first = sent(advance());
    assertEquals(List.of(), advance(), "two copies at a time");
    coordinator.attemptEvent(first.attempt(), AttemptEvent.REFUSED_BY_ENDPOINT, nowMs);
    List<Action> actions = advance();
    assertFalse(sent(actions).attempt().requestId().equals(first.attempt().requestId()));
  }

  private List<Action> loseConnection(Action.Send send) {
    return sendsAndRefusals(coordinator.attemptEvent(send.attempt(), AttemptEvent.LOST, nowMs));
  }

  /**
   * Guards against this failure: runs whose endpoint was not proved to have crashed were no
   * evidence, and more runs followed.
   */
  @Test
  void requestIsQuarantinedAfterThreeUnansweredLeases() {
    threeCrashesAmongOthers(1);
    int sent = 0;
    for (int i = 0; i < 40; i++) {
      arrive("r-" + i, 1);
      for (Action action : advance()) {
        if (action instanceof Action.Send send) {
          sent++;
          loseConnection(send);
        }
      }
    }
    assertEquals(3, sent);
    Refusal refusal = refused(arrive("r-last", 1));
    assertEquals(RefusalKind.QUARANTINED, refusal.kind());
    assertEquals(Ran.NO, refusal.ran());
    assertTrue(refusal.retryAfterMs() > 10_000, "retry delay ends too early");
  }

  private int crashesKnown() {
    return coordinator.suspectedRequests().allUpdates().crashes().size();
  }

  /**
   * Guards against this failure: the first two crashes under a request were not proved by any host,
   * because the ports of the endpoints accepted connections a moment too long, or again. The
   * request ran four times more than it should have.
   */
  @Test
  void terminationProvedLaterExplainsTheLostConnection() {
    Action.Send first = sent(arrive("r-1", 1));
    loseConnection(first);
    assertEquals(0, crashesKnown(), "a connection may break for other reasons");
    nowMs += 300;
    coordinator.endpointsRestarted(first.endpoint().identity()::equals, nowMs);
    assertEquals(1, crashesKnown());
    coordinator.endpointsRestarted(first.endpoint().identity()::equals, nowMs);
    assertEquals(1, crashesKnown(), "counted twice");
  }

  @Test
  void terminationSeenByAPeerExplainsTheLostConnection() {
    Action.Send first = sent(arrive("r-1", 1));
    loseConnection(first);
    nowMs += 100;
    crashReportedByPeer(first.endpoint().name(), 2);
    EndpointCrash crash = coordinator.suspectedRequests().allUpdates().crashes().get(0);
    assertEquals(2, crash.requests().size(), crash.toString());
  }

  @Test
  void terminationLongAfterTheLossDoesNotExplainIt() {
    Action.Send first = sent(arrive("r-1", 1));
    loseConnection(first);
    nowMs += 2_000;
    crashReportedByPeer(first.endpoint().name(), 2);
    assertEquals(
        1, coordinator.suspectedRequests().allUpdates().crashes().get(0).requests().size());
    nowMs += 20_000;
    coordinator.endpointsRestarted(first.endpoint().identity()::equals, nowMs);
    assertEquals(1, crashesKnown());
  }

  /**
   * Guards against this failure: a harmless request was rejected. Its endpoint had restarted
   * without a termination visible to the host; the attempt continued, and each later version of the
   * list counted as another crash of the same incarnation.
   */
  @Test
  void supersededIncarnationCrashesOnceUnderAContinuingAttempt() {
    Action.Send send = sent(arrive("r-1", 1));
    for (int i = 0; i < 10; i++) {
      nowMs += 1_500;
      sendsAndRefusals(coordinator.endpointsRestarted(send.endpoint().identity()::equals, nowMs));
      coordinator.tick(nowMs);
    }
    assertEquals(List.of(), coordinator.suspectedRequests().rejected());
    assertTrue(
        coordinator.suspectedRequests().allUpdates().crashes().size() <= 1,
        "one incarnation, one crash");
  }

  /**
   * Guards against this failure: copies that had waited for a free endpoint were sent together once
   * one was free, because each had held the execution lease before.
   */
  @Test
  void waitingCopiesAreNotSentTogether() {
    List<Action.Send> earlierSends = new ArrayList<>();
    for (int i = 0; i < 400 && coordinator.waitingCount() == 0; i++) {
      arrive("r-" + i, 5).forEach(action -> earlierSends.add((Action.Send) action));
    }
    threeCrashesAmongOthers(1);
    arrive("c-1", 1);
    arrive("c-2", 1);
    for (int i = 0; i < 20; i++) {
      advance();
    }
    assertEquals(
        3, coordinator.waitingCount(), "both copies, and the request that found no capacity");
    int copies = 0;
    for (Action.Send send : earlierSends) {
      copies += copies(coordinator.attemptEvent(send.attempt(), AttemptEvent.ANSWERED, nowMs));
    }
    for (int i = 0; i < 2; i++) {
      nowMs += SETTLED_MS;
      copies += copies(coordinator.tick(nowMs));
    }
    assertEquals(1, copies);
  }

  private static long copies(List<Action> actions) {
    return actions.stream()
        .filter(action -> action instanceof Action.Send send && isCopy(send.attempt().requestId()))
        .count();
  }

  private static boolean isCopy(String requestId) {
    return requestId.startsWith("c-");
  }

  @Test
  void terminationOfADrainingEndpointIsNoEvidence() {
    twoCrashesElsewhere(1);
    Action.Send send = sent(arrive("r-1", 1));
    coordinator.updateEndpoints(
        IntStream.range(0, 6)
            .mapToObj(SuspectedRequestsTest::engine)
            .filter(engine -> !engine.equals(send.endpoint()))
            .toList(),
        nowMs);
    List<Action> actions = new ArrayList<>(crashEndpoint(send));
    actions.addAll(advance());
    assertEquals("r-1", sent(actions).attempt().requestId());
    sent(arrive("r-2", 1));
  }

  /**
   * Handles a request that crashes its endpoint unless it is rejected. Returns whether it was sent.
   */
  private boolean isSentAndCrashesItsEndpoint(String id, long content) {
    List<Action> actions = arrive(id, content);
    boolean sent = !actions.isEmpty() && actions.get(0) instanceof Action.Send;
    if (sent) {
      crashEndpoint(sent(actions));
    }
    coordinator.callerGone(id, nowMs);
    return sent;
  }

  /**
   * Endpoints restart quickly and crash again before any host has discovered the new incarnation.
   */
  @Test
  void twoRequestsCrashingTheSameEndpointsInTurnAreDistinguished() {
    int first = 0;
    int second = 0;
    for (int i = 0; i < 12; i++) {
      coordinator.updateEndpoints(List.of(engine(i % 3)), nowMs);
      first += isSentAndCrashesItsEndpoint("a-" + i, 1) ? 1 : 0;
      nowMs += RESTART_MS;
      second += isSentAndCrashesItsEndpoint("b-" + i, 2) ? 1 : 0;
      nowMs += RESTART_MS;
    }
    // Operators allow three crashes, and three more.
    assertTrue(first <= 6, "sent " + first + " times");
    assertTrue(second <= 6, "sent " + second + " times");
    sent(arrive("c", 3));
  }

  @Test
  void heldRequestIsRemovedWhenItsCallerLeaves() {
    twoCrashesElsewhere(1);
    crashReportedByPeer("f-3", 1);
    arrive("r-1", 1);
    coordinator.callerGone("r-1", nowMs);
    assertEquals(List.of(), advance());
    assertEquals(0, coordinator.openCount());
  }

  @Test
  void heldRequestIsRefusedAtItsDeadline() {
    twoCrashesElsewhere(1);
    crashReportedByPeer("f-3", 1);
    arrive("r-1", 1);
    nowMs += 10_000;
    assertEquals(1, sendsAndRefusals(coordinator.tick(nowMs)).size());
    assertEquals(0, coordinator.openCount());
  }
}
