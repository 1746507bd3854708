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

/**
 * An endpoint that asked for rest gets nothing until its time is over, whatever else is heard of
 * it, and is not taken for one that failed.
 */
class EndpointRestTest {
  private static final EngineProfile PROFILE =
      new EngineProfile(11, 232_000, 43, 1.02, 0.0033, 0.0043, 206, 0.138, 2_048, 0.075);
  private static final CallerGroup GROUP = new CallerGroup("desk", "ask");
  private static final HostIdentity FIRST = new HostIdentity("e-1", 1);
  private static final HostIdentity SECOND = new HostIdentity("e-2", 1);
  private static final long REST_MS = 3_000;

  private final EndpointRests rests = new EndpointRests();
  private final EndpointRegistry book = new EndpointRegistry(rests);
  private final RequestCoordinator coordinator =
      new RequestCoordinator(
          new HostIdentity("host-1", 1),
          "zone-a",
          Policies.engineModel(new EarnedRetryBudget(0.1, 10), () -> false, Set::of),
          rests);
  private final List<Action> done = new ArrayList<>();
  private int requests;

  EndpointRestTest() {
    Row row = Row.EMPTY.with(Column.DEADLINE_MS, new Cell("60000", 0, "ana"));
    coordinator.table(new TableParts(0, 0).row(GROUP, row).build(), 0);
    coordinator.endpoints(engines(FIRST, SECOND), 0);
    book.update(engines(FIRST));
  }

  private static List<Endpoint> engines(HostIdentity... identities) {
    return Stream.of(identities).map(EndpointRestTest::engine).toList();
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

  private boolean restsAt(long nowMs) {
    return book.state(FIRST).inRequestedBackoff(nowMs);
  }

  /** A request comes; returns what was sent for it, if anything was. */
  private Optional<Action.Send> ask(long promptTokens, RequestAims aims, long nowMs) {
    RequestFacts facts =
        new RequestFacts(
            "r-" + ++requests,
            GROUP,
            new RequestTarget(EndpointKind.MODEL, "pool"),
            promptTokens,
            100,
            nowMs,
            0,
            true,
            List.of(),
            aims);
    done.clear();
    done.addAll(coordinator.arrive(facts, nowMs));
    return sent();
  }

  private Optional<Action.Send> ask(long nowMs) {
    return ask(5_000, new RequestAims(300, 250, 4), nowMs);
  }

  private Optional<Action.Send> sent() {
    return of(Action.Send.class).reduce((a, b) -> b);
  }

  private Optional<Refusal> refused() {
    return of(Action.Refuse.class).map(Action.Refuse::refusal).reduce((a, b) -> b);
  }

  private <T> Stream<T> of(Class<T> kind) {
    return done.stream().filter(kind::isInstance).map(kind::cast);
  }

  @Test
  void itEndsWithItsTimeAndNotBefore() {
    rests.asked(FIRST, REST_MS, 0);
    assertTrue(restsAt(2_999));
    assertFalse(restsAt(3_000));
  }

  @Test
  void noWholeAnswerEndsIt() {
    rests.asked(FIRST, REST_MS, 0);
    book.state(FIRST).recordSuccess();
    assertTrue(restsAt(1));
  }

  @Test
  void aSecondWishLengthensItAndDoesNotShortenIt() {
    rests.asked(FIRST, REST_MS, 0);
    rests.asked(FIRST, 100, 1_000);
    assertTrue(restsAt(2_999));
    rests.asked(FIRST, REST_MS, 2_000);
    assertTrue(restsAt(4_999));
    assertFalse(restsAt(5_000));
  }

  /**
   * Seen: an endpoint that had started again asked for rest before any host knew of its start. Its
   * word was kept for the earlier start, and was lost once the list told the later one.
   */
  @Test
  void aStartThatBecomesKnownAfterTheWordMayBeTheOneThatSpoke() {
    rests.asked(FIRST, REST_MS, 0);
    assertTrue(laterStartRestsAt(2_999));
    assertFalse(laterStartRestsAt(3_000));
    assertFalse(rests.lasts(new HostIdentity("e-1", 0), 1), "an earlier start");
  }

  @Test
  void aStartAfterAnEndThatWasSeenDoesNotRest() {
    rests.asked(FIRST, REST_MS, 0);
    book.terminated(FIRST, 10);
    assertFalse(laterStartRestsAt(11));
    assertFalse(restsAt(11));
  }

  /**
   * Seen: an endpoint that had ended and started again asked for rest; 1.1 s later another host
   * learned of that start, and told the end of the earlier one as of then.
   */
  @Test
  void whatAnotherHostTellsOfAnEndDoesNotEndARest() {
    rests.asked(FIRST, REST_MS, 0);
    EndpointCrash told =
        new EndpointCrash(FIRST, 900, 1_100, Set.of(new RequestFingerprint(1, 2, 3)));
    CrashNews news = new CrashNews(List.of(told), List.of(), List.of(), List.of());
    coordinator.suspects(one -> one.heard(news, 1_150), 1_150);
    assertTrue(laterStartRestsAt(2_999));
  }

  @Test
  void anEndThatWasSeenBeforeTheWordSaysNothingAboutIt() {
    rests.asked(FIRST, REST_MS, 10);
    book.terminated(FIRST, 5);
    assertTrue(laterStartRestsAt(11));
    assertTrue(restsAt(11));
  }

  @Test
  void aLongRestDoesNotBindWhatStartsLongAfterTheWord() {
    rests.asked(FIRST, 10 * EndpointRests.MAX_DISCOVERY_DELAY_MS, 0);
    assertTrue(laterStartRestsAt(EndpointRests.MAX_DISCOVERY_DELAY_MS - 1));
    assertFalse(laterStartRestsAt(EndpointRests.MAX_DISCOVERY_DELAY_MS));
    assertTrue(restsAt(EndpointRests.MAX_DISCOVERY_DELAY_MS));
    rests.asked(new HostIdentity("e-1", 2), 100, EndpointRests.MAX_DISCOVERY_DELAY_MS);
    assertTrue(laterStartRestsAt(EndpointRests.MAX_DISCOVERY_DELAY_MS + 99));
    assertFalse(laterStartRestsAt(EndpointRests.MAX_DISCOVERY_DELAY_MS + 100));
  }

  private boolean laterStartRestsAt(long nowMs) {
    HostIdentity later = new HostIdentity("e-1", 2);
    book.update(engines(FIRST, later));
    return book.state(later).inRequestedBackoff(nowMs);
  }

  @Test
  void itOutlastsTheListThatLacksTheEndpointForAMoment() {
    rests.asked(FIRST, REST_MS, 0);
    book.update(List.of());
    book.update(engines(FIRST));
    assertTrue(restsAt(1));
  }

  @Test
  void itIsKeptForNoLongerThanItLasts() {
    for (int i = 0; i < 1_000; i++) {
      rests.asked(new HostIdentity("e-" + i, 1), 10, 100L * i);
    }
    assertEquals(1, rests.count(99_900));
  }

  @Test
  void theEndpointIsNotBlamed() {
    Action.Send send = ask(0).orElseThrow();
    rests.asked(send.endpoint().identity(), 100, 1);
    done.addAll(coordinator.attempt(send.attempt(), AttemptEvent.REFUSED_BY_ENDPOINT, 1));
    HostIdentity other = sent().orElseThrow().endpoint().identity();
    assertFalse(other.equals(send.endpoint().identity()), "asked again");
    rests.asked(other, REST_MS, 1);
    // The end of its rest, long before that of the blame for one failure.
    assertEquals(send.endpoint(), ask(101).orElseThrow().endpoint());
  }

  @Test
  void whatWasChosenAndNotSentGoesElsewhereWithoutBlameOrBudget() {
    Action.Send send = ask(0).orElseThrow();
    rests.asked(send.endpoint().identity(), 100, 1);
    done.addAll(coordinator.attempt(send.attempt(), AttemptEvent.ENDPOINT_RESTS, 1));
    Action.Send second = sent().orElseThrow();
    assertFalse(second.endpoint().equals(send.endpoint()), "sent to one that rests");
    done.addAll(coordinator.attempt(second.attempt(), AttemptEvent.REFUSED_BY_ENDPOINT, 101));
    assertEquals(send.endpoint(), sent().orElseThrow().endpoint());
  }

  private static Set<HostIdentity> readers(Action.Send send) {
    Stream<Endpoint> helpers = send.helpers().stream().map(Action.Helper::endpoint);
    return Stream.concat(Stream.of(send.endpoint()), helpers)
        .map(Endpoint::identity)
        .collect(Collectors.toSet());
  }

  @Test
  void itIsNoHelperOfALongPrompt() {
    HostIdentity third = new HostIdentity("e-3", 1);
    RequestAims aims = new RequestAims(2_500, 1_000, 4);
    coordinator.endpoints(engines(FIRST, SECOND, third, new HostIdentity("e-4", 1)), 0);
    Action.Send all = ask(200_000, aims, 0).orElseThrow();
    assertTrue(readers(all).contains(third), () -> "read by " + readers(all));
    coordinator.attempt(all.attempt(), AttemptEvent.ANSWERED, 900);
    rests.asked(third, REST_MS, 1_000);
    Action.Send others = ask(200_000, aims, 1_000).orElseThrow();
    assertFalse(readers(others).contains(third));
    assertFalse(others.helpers().isEmpty(), "read alone");
  }

  private void allRest(long restMs) {
    rests.asked(FIRST, restMs, 0);
    rests.asked(SECOND, REST_MS, 0);
  }

  @Test
  void whereAllRestForTooLongCallersHearWhenTheFirstIsBack() {
    allRest(700);
    assertEquals(Optional.empty(), ask(100));
    Refusal refusal = refused().orElseThrow();
    assertEquals(RefusalKind.ENDPOINTS_REST, refusal.kind());
    assertEquals(Ran.NO, refusal.ran());
    assertEquals(600, refusal.retryAfterMs());
    assertEquals(0, coordinator.open());
  }

  @Test
  void whereAllRestForLongOtherHostsMayHelpSooner() {
    allRest(3_600_000);
    rests.asked(SECOND, 3_600_000, 0);
    ask(100);
    assertEquals(1_000, refused().orElseThrow().retryAfterMs());
  }

  @Test
  void whatStillComesInTimeWaitsForTheEndOfTheRest() {
    allRest(150);
    assertEquals(Optional.empty(), ask(100));
    assertEquals(1, coordinator.waiting());
    done.addAll(coordinator.tick(160));
    assertEquals(FIRST, sent().orElseThrow().endpoint().identity());
  }

  @Test
  void whatWaitsIsGivenUpWhenTheLastOneAsksForRest() {
    allRest(150);
    ask(100);
    rests.asked(FIRST, REST_MS, 110);
    done.addAll(coordinator.endpointRests(110));
    assertEquals(RefusalKind.ENDPOINTS_REST, refused().orElseThrow().kind());
    assertEquals(0, coordinator.open());
  }

  @Test
  void whatWaitsIsGivenUpWhenTheLastOneLeaves() {
    allRest(150);
    ask(100);
    done.addAll(coordinator.endpoints(List.of(), 110));
    assertEquals(RefusalKind.NO_ENDPOINT, refused().orElseThrow().kind());
    assertEquals(Ran.NO, refused().orElseThrow().ran());
    assertEquals(0, coordinator.open());
  }

  @Test
  void whatMayHaveRunIsNotToldThatItDidNot() {
    Action.Send send = ask(0).orElseThrow();
    rests.asked(FIRST, REST_MS, 1);
    rests.asked(SECOND, REST_MS, 1);
    done.addAll(coordinator.attempt(send.attempt(), AttemptEvent.LOST, 1));
    assertEquals(Ran.UNKNOWN, refused().orElseThrow().ran());
    assertEquals(RefusalKind.ENDPOINT_FAILED, refused().orElseThrow().kind());
  }
}
