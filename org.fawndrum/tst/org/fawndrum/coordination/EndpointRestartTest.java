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
import org.fawndrum.coordination.engine.EngineNews;
import org.fawndrum.state.CallerGroup;
import org.fawndrum.state.Cell;
import org.fawndrum.state.Column;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.EndpointKind;
import org.fawndrum.state.EngineProfile;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.HostListing;
import org.fawndrum.state.RequestAims;
import org.fawndrum.state.Row;
import org.fawndrum.state.TableParts;
import org.junit.jupiter.api.Test;

/**
 * Each piece of what a host believes of an endpoint ends with the start that it is about: a test
 * for each. The endpoint has one id and address over its starts.
 */
class EndpointRestartTest {
  private static final EngineProfile PROFILE =
      new EngineProfile(11, 232_000, 43, 1.02, 0.0033, 0.0043, 206, 0.138, 2_048, 0.075);
  private static final CallerGroup GROUP = new CallerGroup("desk", "ask");
  private static final HostIdentity OTHER_HOST = new HostIdentity("host-2", 1);
  private static final RequestAims AIMS = new RequestAims(2_500, 1_000, 2);

  private final EndpointRegistry book = new EndpointRegistry(new EndpointRests());
  private final EngineWork work =
      new EngineWork(new HostIdentity("host-1", 1), book, new ArrayList<>());
  private final EndpointRoster roster = new EndpointRoster();
  private final RequestCoordinator coordinator =
      new RequestCoordinator(
          new HostIdentity("host-1", 1),
          "zone-a",
          Policies.engineModel(new EarnedRetryBudget(0.1, 10), () -> false, Set::of));
  private final List<Action> done = new ArrayList<>();

  EndpointRestartTest() {
    Row row = Row.EMPTY.with(Column.DEADLINE_MS, new Cell("60000", 0, "ana"));
    coordinator.table(new TableParts(0, 0).row(GROUP, row).build(), 0);
    book.update(List.of(engine("e-1", 1)));
  }

  private static Endpoint engine(String name, long start) {
    return new Endpoint(
        new HostIdentity(name, start),
        "zone-a",
        EndpointKind.MODEL,
        new HostAddress("127.0.0.1", 9_000),
        Set.of("pool"),
        PROFILE.memoryTokens(),
        Optional.of(PROFILE));
  }

  private EndpointState state(long start) {
    return book.state(new HostIdentity("e-1", start));
  }

  private void startsAgain() {
    book.update(List.of(engine("e-1", 2)));
  }

  private static EngineJob job(long id, long start) {
    return new EngineJob(id, new HostIdentity("e-1", start), 50_000, 50_000, 1, true, AIMS, 0);
  }

  private void heard(EngineNews news) {
    work.applyUpdate(OTHER_HOST, news, 10);
  }

  @Test
  void workAndMemoryThatOthersPlacedThere() {
    heard(new EngineNews.Placed(job(7, 1)));
    assertEquals(50_000, state(1).load().memoryTokens());
    startsAgain();
    assertEquals(0, state(2).load().size());
    assertEquals(0, state(2).load().memoryTokens());
  }

  @Test
  void newsOfEarlierWorkThatComeLateOrTwice() {
    EngineNews.Placed placed = new EngineNews.Placed(job(7, 1));
    heard(placed);
    startsAgain();
    heard(placed);
    work.replaceAll(OTHER_HOST, List.of(placed), 20);
    assertEquals(0, state(2).load().size());
  }

  @Test
  void workAtAnEndpointThatWasMissingForAWhileCountsAgain() {
    EngineNews.Placed placed = new EngineNews.Placed(job(7, 1));
    heard(placed);
    book.update(List.of());
    book.update(List.of(engine("e-1", 1)));
    assertEquals(0, state(1).load().size());
    work.replaceAll(OTHER_HOST, List.of(placed), 20);
    work.replaceAll(OTHER_HOST, List.of(placed), 30);
    assertEquals(1, state(1).load().size());
    work.replaceAll(OTHER_HOST, List.of(), 40);
    assertEquals(0, state(1).load().size());
  }

  @Test
  void blameAndRest() {
    for (int i = 0; i < 4; i++) {
      state(1).recordFailure(0);
    }
    assertTrue(state(1).inFailureBackoff(100));
    startsAgain();
    assertFalse(state(2).inFailureBackoff(100));
  }

  @Test
  void blameThatOthersTellLate() {
    heard(new EngineNews.Placed(job(7, 1)));
    startsAgain();
    heard(new EngineNews.Ended(7, true));
    assertFalse(state(2).inFailureBackoff(11));
    work.endpointFailed(new HostIdentity("e-1", 1), 10);
    assertFalse(state(2).inFailureBackoff(11));
  }

  @Test
  void prefixesThatItHadRead() {
    state(1).prefixes().stored(List.of(4L, 5L));
    startsAgain();
    assertEquals(0, state(2).prefixes().matchingBlocks(List.of(4L, 5L)));
  }

  @Test
  void paceThatItHad() {
    EngineJob slow = job(7, 1);
    state(1).load().add(slow, 0);
    state(1).load().read(7, 20_000);
    assertTrue(state(1).load().slowness(20_000) > 1.5);
    startsAgain();
    assertEquals(1, state(2).load().slowness(20_000));
  }

  /** Returns tokens that wait at the lowest priority. */
  private static long[] backlog(long tokens) {
    long[] backlog = new long[LoadReport.PRIORITIES];
    backlog[0] = tokens;
    return backlog;
  }

  @Test
  void loadThatItReported() {
    state(1).loadReported(new LoadReport(9, backlog(100_000), 0, 3, 1_000), 0);
    startsAgain();
    assertEquals(0, state(2).backlogFrom(0, 0));
    assertEquals(PROFILE.memoryTokens(), state(2).freeTokens());
    state(2).loadReported(new LoadReport(1, backlog(500), 10, 1, 1_000), 5);
    assertEquals(500, state(2).backlogFrom(0, 5));
  }

  @Test
  void thatItWasLeaving() {
    HostIdentity first = new HostIdentity("e-1", 1);
    roster.listed(listing(1, engine("e-1", 1), Set.of(first)));
    assertEquals(List.of(), roster.open());
    roster.listed(listing(2, engine("e-1", 2), Set.of()));
    assertEquals(1, roster.open().size());
    assertFalse(roster.saidLeaving(first), "old news");
    assertEquals(1, roster.open().size());
  }

  private static HostListing listing(long version, Endpoint endpoint, Set<HostIdentity> leaving) {
    return new HostListing(version, List.of(endpoint), leaving, List.of());
  }

  @Test
  void aWordOfALaterStartIsNewsOnceAndOnlyOfAListedEndpoint() {
    assertFalse(roster.startedAgain(new HostIdentity("e-1", 2)), "not listed");
    roster.listed(listing(1, engine("e-1", 1), Set.of()));
    assertTrue(roster.startedAgain(new HostIdentity("e-1", 2)));
    assertFalse(roster.startedAgain(new HostIdentity("e-1", 2)), "twice");
    assertFalse(roster.startedAgain(new HostIdentity("e-1", 1)), "late");
    assertTrue(roster.isOver(new HostIdentity("e-1", 1)));
    assertEquals(2, roster.open().get(0).incarnation());
    // The list comes late: it still names the earlier start.
    roster.listed(listing(2, engine("e-1", 1), Set.of()));
    assertEquals(2, roster.open().get(0).incarnation());
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
        AIMS);
  }

  private Action.Send sent() {
    return (Action.Send)
        done.stream().filter(Action.Send.class::isInstance).reduce((a, b) -> b).orElseThrow();
  }

  private void ask(long promptTokens, boolean repeatable, String... engines) {
    coordinator.endpoints(List.of(engines).stream().map(name -> engine(name, 1)).toList(), 0);
    done.addAll(coordinator.arrive(request(promptTokens, repeatable), 0));
  }

  /** One engine starts again; what follows is all that is done. */
  private void startsAgain(String again, String... engines) {
    done.clear();
    List<Endpoint> now =
        List.of(engines).stream().map(name -> engine(name, name.equals(again) ? 2 : 1)).toList();
    done.addAll(coordinator.endpoints(now, 50));
    HostIdentity over = new HostIdentity(again, 1);
    done.addAll(coordinator.restarted(over::equals, 50));
    done.removeIf(one -> one instanceof Action.Explain || one instanceof Action.Announce);
  }

  @Test
  void whatIsInFlightThereIsSentAgainAndMayGoToTheSameEndpoint() {
    ask(5_000, true, "e-1");
    startsAgain("e-1", "e-1");
    assertEquals(2, done.size(), () -> "cancelled and sent: " + done);
    assertEquals(new HostIdentity("e-1", 2), sent().endpoint().identity());
  }

  @Test
  void whatMayNotRunTwiceGetsItsAnswerAtOnce() {
    ask(5_000, false, "e-1");
    startsAgain("e-1", "e-1");
    assertEquals(2, done.size(), () -> "cancelled and refused: " + done);
    Action.Refuse refused = (Action.Refuse) done.get(1);
    assertEquals(Ran.UNKNOWN, refused.refusal().ran());
    assertEquals(0, coordinator.open());
  }

  /**
   * Seen: an answer was broken off 1 ms after its first token, when the list told a later start of
   * its engine. It was that start which gave it.
   */
  @Test
  void anAnswerThatHasBegunMayBeOfTheLaterStartAndGoesOn() {
    ask(5_000, true, "e-1");
    coordinator.attempt(sent().attempt(), AttemptEvent.ANSWERING, 40);
    startsAgain("e-1", "e-1");
    assertEquals(List.of(), done);
    assertEquals(1, coordinator.open());
  }

  @Test
  void whatIsElsewhereGoesOn() {
    ask(5_000, true, "e-1", "e-2");
    String other = sent().endpoint().name().equals("e-1") ? "e-2" : "e-1";
    startsAgain(other, "e-1", "e-2");
    assertEquals(List.of(), done);
  }

  @Test
  void aPromptWhoseHelperHoldsMemoryIsSentAgain() {
    ask(300_000, true, "e-1", "e-2");
    String helper = sent().helpers().get(0).endpoint().name();
    done.addAll(coordinator.attempt(sent().attempt(), AttemptEvent.ANSWERING, 40));
    startsAgain(helper, "e-1", "e-2");
    assertTrue(done.get(0) instanceof Action.Cancel, () -> "first of " + done);
  }

  @Test
  void aPromptWhoseHelperOnlyReadGoesOnOnceItIsRead() {
    String[] engines = {"e-1", "e-2", "e-3", "e-4"};
    ask(200_000, true, engines);
    List<Action.Helper> helpers = sent().helpers();
    assertFalse(helpers.isEmpty(), "read alone");
    assertEquals(0, helpers.get(0).memoryTokens());
    done.addAll(coordinator.attempt(sent().attempt(), AttemptEvent.ANSWERING, 40));
    startsAgain(helpers.get(0).endpoint().name(), engines);
    assertEquals(List.of(), done);
  }
}
