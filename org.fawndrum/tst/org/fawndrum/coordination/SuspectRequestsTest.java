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
import org.fawndrum.coordination.crash.CrashNews;
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
import org.fawndrum.state.RequestAims;
import org.fawndrum.state.Row;
import org.fawndrum.state.TableParts;
import org.junit.jupiter.api.Test;

/** What a host does with requests under which endpoints end, wherever it has them. */
class SuspectRequestsTest {
  private static final EngineProfile PROFILE =
      new EngineProfile(11, 232_000, 43, 1.02, 0.0033, 0.0043, 206, 0.138, 2_048, 0.075);
  private static final CallerGroup GROUP = new CallerGroup("desk", "ask");
  private static final RequestAims AIMS = new RequestAims(300, 250, 2);

  /** Longer than crashes at one moment are apart, and than one takes to settle, in milliseconds. */
  /** After how long an endpoint is back that ended, and not avoided any more, in milliseconds. */
  private static final long BACK_MS = 600;

  private static final long LATER_MS = 250;

  private final RequestCoordinator coordinator =
      new RequestCoordinator(
          new HostIdentity("host-1", 1),
          "zone-a",
          Policies.engineModel(new EarnedRetryBudget(0.1, 10), () -> false, Set::of));
  private long nowMs = 1_000;

  SuspectRequestsTest() {
    Row row = Row.EMPTY.with(Column.DEADLINE_MS, new Cell("10000", 0, "ana"));
    coordinator.table(new TableParts(0, 0).row(GROUP, row).build(), nowMs);
    offer(6);
  }

  private void offer(int engines) {
    coordinator.endpoints(
        IntStream.range(0, engines).mapToObj(SuspectRequestsTest::engine).toList(), nowMs);
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
    return decisive(
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
                AIMS,
                new NumberedContent(content)),
            nowMs));
  }

  /** Leaves out what is only shown or told. */
  private static List<Action> decisive(List<Action> actions) {
    return actions.stream()
        .filter(one -> one instanceof Action.Send || one instanceof Action.Refuse)
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

  /** The endpoint of an attempt ends under it. */
  private List<Action> ends(Action.Send send) {
    List<Action> done = new ArrayList<>(coordinator.endpointEnded(send.attempt(), nowMs));
    done.addAll(coordinator.attempt(send.attempt(), AttemptEvent.LOST, nowMs));
    return decisive(done);
  }

  private List<Action> later() {
    nowMs += LATER_MS;
    return decisive(coordinator.tick(nowMs));
  }

  /** Another host saw an endpoint end under a request. */
  private List<Action> told(String endpoint, long content) {
    RequestFingerprint request = new NumberedContent(content).print();
    EndpointCrash crash =
        new EndpointCrash(new HostIdentity(endpoint, 1), nowMs, nowMs, Set.of(request));
    CrashNews news = new CrashNews(List.of(crash), List.of(), List.of(), List.of());
    return decisive(coordinator.suspects(one -> one.heard(news, nowMs), nowMs));
  }

  private void twoCrashesElsewhere(long content) {
    told("f-1", content);
    later();
    told("f-2", content);
    later();
  }

  @Test
  void theThirdCrashEndsItsTryAndItIsRefusedFromThenOn() {
    twoCrashesElsewhere(1);
    Action.Send send = sent(arrive("r-1", 1));
    assertEquals(List.of(), ends(send), "sent again before the crash has settled");
    Refusal end = refused(later());
    assertEquals(RefusalKind.ENDS_ENDPOINTS, end.kind());
    assertEquals(Ran.UNKNOWN, end.ran());
    assertEquals(Refusal.NEVER, end.retryAfterMs());
    Refusal next = refused(arrive("r-2", 1));
    assertEquals(RefusalKind.ENDS_ENDPOINTS, next.kind());
    assertEquals(Ran.NO, next.ran());
    sent(arrive("r-3", 2));
    assertEquals(1, coordinator.open());
  }

  @Test
  void whatIsHeldKeepsNobodyElseWaiting() {
    twoCrashesElsewhere(1);
    told("f-3", 1);
    assertEquals(List.of(), arrive("r-1", 1));
    sent(arrive("r-2", 2));
    assertEquals(Ran.NO, refused(later()).ran());
  }

  @Test
  void whatIsHeldIsSentWhenSomebodyAnsweredItMeanwhile() {
    Action.Send elsewhere = sent(arrive("r-1", 1));
    twoCrashesElsewhere(1);
    told("f-3", 1);
    assertEquals(List.of(), arrive("r-2", 1));
    List<Action> done =
        decisive(coordinator.attempt(elsewhere.attempt(), AttemptEvent.ANSWERED, nowMs));
    assertEquals("r-2", sent(done).attempt().requestId());
  }

  @Test
  void whatWaitsForAnEndpointIsRefusedToo() {
    List<Action> before = new ArrayList<>();
    for (int i = 0; i < 400 && coordinator.waiting() == 0; i++) {
      before.addAll(arrive("r-" + i, 1));
    }
    assertEquals(1, coordinator.waiting());
    twoCrashesElsewhere(1);
    told("f-3", 1);
    assertTrue(
        later().stream().anyMatch(one -> one instanceof Action.Refuse), "still waits for its turn");
    assertEquals(0, coordinator.waiting());
  }

  /** Three endpoints ended under a request, and one without it, so that more are needed. */
  private void threeCrashesAmongOthers(long content) {
    told("x-1", 99);
    later();
    twoCrashesElsewhere(content);
    told("f-3", content);
    later();
  }

  @Test
  void oneCopyRunsAtATimeAndTheNextWhenNothingBecameOfIt() {
    threeCrashesAmongOthers(1);
    assertEquals(List.of(), arrive("r-1", 1));
    assertEquals(List.of(), arrive("r-2", 1));
    Action.Send first = sent(later());
    assertEquals(List.of(), later(), "two at a time");
    coordinator.attempt(first.attempt(), AttemptEvent.REFUSED_BY_ENDPOINT, nowMs);
    List<Action> done = later();
    assertFalse(sent(done).attempt().requestId().equals(first.attempt().requestId()));
  }

  private List<Action> lost(Action.Send send) {
    return decisive(coordinator.attempt(send.attempt(), AttemptEvent.LOST, nowMs));
  }

  /** Seen: runs whose ends no host could prove were no evidence, and more followed. */
  @Test
  void afterThreeTurnsWithoutAnswerItsCallersAreAskedBackAtOnce() {
    threeCrashesAmongOthers(1);
    int sent = 0;
    for (int i = 0; i < 40; i++) {
      arrive("r-" + i, 1);
      for (Action action : later()) {
        if (action instanceof Action.Send send) {
          sent++;
          lost(send);
        }
      }
    }
    assertEquals(3, sent);
    Refusal later = refused(arrive("r-last", 1));
    assertEquals(RefusalKind.QUARANTINED, later.kind());
    assertEquals(Ran.NO, later.ran());
    assertTrue(later.retryAfterMs() > 10_000, "asked back before it may run");
  }

  private int crashesKnown() {
    return coordinator.suspects().all().crashes().size();
  }

  /**
   * Seen: of the first two engines that a request ended no host had proof, because their ports took
   * connections a moment too long, or again. It ran four times more than it should have.
   */
  @Test
  void anEndThatIsProvedLaterCountsForWhatWasLostWithIt() {
    Action.Send first = sent(arrive("r-1", 1));
    lost(first);
    assertEquals(0, crashesKnown(), "a connection may break for other reasons");
    nowMs += 300;
    coordinator.restarted(first.endpoint().identity()::equals, nowMs);
    assertEquals(1, crashesKnown());
    coordinator.restarted(first.endpoint().identity()::equals, nowMs);
    assertEquals(1, crashesKnown(), "counted twice");
  }

  @Test
  void anEndThatAnotherHostSawCountsForWhatWasLostWithIt() {
    Action.Send first = sent(arrive("r-1", 1));
    lost(first);
    nowMs += 100;
    told(first.endpoint().name(), 2);
    EndpointCrash crash = coordinator.suspects().all().crashes().get(0);
    assertEquals(2, crash.under().size(), crash.toString());
  }

  @Test
  void anEndLongAfterAConnectionBrokeSaysNothingAboutIt() {
    Action.Send first = sent(arrive("r-1", 1));
    lost(first);
    nowMs += 2_000;
    told(first.endpoint().name(), 2);
    assertEquals(1, coordinator.suspects().all().crashes().get(0).under().size());
    nowMs += 20_000;
    coordinator.restarted(first.endpoint().identity()::equals, nowMs);
    assertEquals(1, crashesKnown());
  }

  /**
   * Seen: a request that ends nothing was turned away. Its endpoint had started again without an
   * end that its host could see; the attempt lasted, and each later reading of the list counted as
   * another end of the same start.
   */
  @Test
  void aStartThatIsOverEndsOnceUnderAnAttemptThatLasts() {
    Action.Send send = sent(arrive("r-1", 1));
    for (int i = 0; i < 10; i++) {
      nowMs += 1_500;
      decisive(coordinator.restarted(send.endpoint().identity()::equals, nowMs));
      coordinator.tick(nowMs);
    }
    assertEquals(List.of(), coordinator.suspects().refused());
    assertTrue(coordinator.suspects().all().crashes().size() <= 1, "one start, one end");
  }

  /**
   * Seen: copies that had waited for an endpoint while none was free were sent to it together,
   * since each had had its turn before.
   */
  @Test
  void copiesThatWaitedForAnEndpointDoNotGoTogether() {
    List<Action.Send> before = new ArrayList<>();
    for (int i = 0; i < 400 && coordinator.waiting() == 0; i++) {
      arrive("r-" + i, 5).forEach(one -> before.add((Action.Send) one));
    }
    threeCrashesAmongOthers(1);
    arrive("c-1", 1);
    arrive("c-2", 1);
    for (int i = 0; i < 20; i++) {
      later();
    }
    assertEquals(3, coordinator.waiting(), "both copies, and the one that found no room");
    int copies = 0;
    for (Action.Send one : before) {
      copies += copies(coordinator.attempt(one.attempt(), AttemptEvent.ANSWERED, nowMs));
    }
    for (int i = 0; i < 2; i++) {
      nowMs += LATER_MS;
      copies += copies(coordinator.tick(nowMs));
    }
    assertEquals(1, copies);
  }

  private static long copies(List<Action> actions) {
    return actions.stream()
        .filter(one -> one instanceof Action.Send send && isCopy(send.attempt().requestId()))
        .count();
  }

  private static boolean isCopy(String requestId) {
    return requestId.startsWith("c-");
  }

  @Test
  void anEndpointThatWasToLeaveSaysNothing() {
    twoCrashesElsewhere(1);
    Action.Send send = sent(arrive("r-1", 1));
    coordinator.endpoints(
        IntStream.range(0, 6)
            .mapToObj(SuspectRequestsTest::engine)
            .filter(engine -> !engine.equals(send.endpoint()))
            .toList(),
        nowMs);
    List<Action> done = new ArrayList<>(ends(send));
    done.addAll(later());
    assertEquals("r-1", sent(done).attempt().requestId());
    sent(arrive("r-2", 1));
  }

  /** A request comes, and ends its endpoint unless it is turned away; tells whether it was sent. */
  private boolean isSentAndEndsItsEndpoint(String id, long content) {
    List<Action> done = arrive(id, content);
    boolean sent = !done.isEmpty() && done.get(0) instanceof Action.Send;
    if (sent) {
      ends(sent(done));
    }
    coordinator.callerGone(id, nowMs);
    return sent;
  }

  /** Endpoints that are back soon and end again, before any host has read of their new start. */
  @Test
  void twoRequestsThatEndTheSameEndpointsOneAfterTheOtherAreToldApart() {
    int first = 0;
    int second = 0;
    for (int i = 0; i < 12; i++) {
      coordinator.endpoints(List.of(engine(i % 3)), nowMs);
      first += isSentAndEndsItsEndpoint("a-" + i, 1) ? 1 : 0;
      nowMs += BACK_MS;
      second += isSentAndEndsItsEndpoint("b-" + i, 2) ? 1 : 0;
      nowMs += BACK_MS;
    }
    // Operators allow for three ends, and for three more.
    assertTrue(first <= 6, "sent " + first + " times");
    assertTrue(second <= 6, "sent " + second + " times");
    sent(arrive("c", 3));
  }

  @Test
  void aCallerThatLeavesWhileItsRequestIsHeldLeavesNothing() {
    twoCrashesElsewhere(1);
    told("f-3", 1);
    arrive("r-1", 1);
    coordinator.callerGone("r-1", nowMs);
    assertEquals(List.of(), later());
    assertEquals(0, coordinator.open());
  }

  @Test
  void aDeadlinePassesForWhatIsHeld() {
    twoCrashesElsewhere(1);
    told("f-3", 1);
    arrive("r-1", 1);
    nowMs += 10_000;
    assertEquals(1, decisive(coordinator.tick(nowMs)).size());
    assertEquals(0, coordinator.open());
  }
}
