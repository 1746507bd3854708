// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import java.util.stream.IntStream;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.junit.jupiter.api.Test;

/** Verifies which host issues permits, and that hosts that do not hear each other share a rate. */
class IssuerSelectorTest {
  private static final String ENDPOINT = "e-1";
  private static final long GONE_MS = FleetOverlay.GONE_MS;
  private static final long TAKEOVER_MS = IssuerSelector.TAKEOVER_MS;

  /** The hosts in the order in which they issue permits for the endpoint. */
  private static final String[] RANKED =
      IntStream.range(0, 8)
          .mapToObj(i -> "host-" + i)
          .sorted((left, right) -> ZoneTasks.precedes(ENDPOINT, left, right) ? -1 : 1)
          .toArray(String[]::new);

  private final IssuerSelector best = selector(RANKED[0], true);
  private final IssuerSelector second = selector(RANKED[1], true);

  private static FleetMember member(String name) {
    return new FleetMember(new HostIdentity(name, 1), new HostAddress(name, 1), "zone-a", 1);
  }

  private static IssuerSelector selector(String name, boolean hasSeeds) {
    List<HostAddress> seeds = List.of(member(RANKED[0]).address(), member(RANKED[1]).address());
    return new IssuerSelector(member(name), () -> hasSeeds ? seeds : List.of());
  }

  /**
   * Lets a host hear others, each second for a time. All start together at 0, when none may say yet
   * that it issues permits.
   */
  private static void hear(IssuerSelector host, int first, int last, long fromMs, long toMs) {
    for (long nowMs = fromMs; nowMs <= toMs; nowMs += 1_000) {
      for (int i = first; i <= last; i++) {
        FleetMember member = member(RANKED[i]);
        host.observed(nowMs < IssuerSelector.SETTLE_MS ? member.starting() : member, nowMs);
      }
      host.check(nowMs);
    }
  }

  @Test
  void theFirstOfAllIssuesOnceItHasRunForSomeTime() {
    hear(best, 1, 7, 0, TAKEOVER_MS);
    assertEquals(0, best.part(ENDPOINT, TAKEOVER_MS - 1));
    assertEquals(1, best.part(ENDPOINT, TAKEOVER_MS));
    assertEquals(RANKED[0], best.issuer(ENDPOINT, TAKEOVER_MS).identity().host());
  }

  @Test
  void theNextWaitsUntilTheFirstHasSurelyNoticedThatItIsAlone() {
    hear(second, 0, 0, 0, 10_000);
    hear(second, 2, 7, 0, 30_000);
    assertEquals(RANKED[0], second.issuer(ENDPOINT, 10_000 + GONE_MS).identity().host());
    assertEquals(RANKED[1], second.issuer(ENDPOINT, 10_001 + GONE_MS).identity().host());
    assertEquals(0, second.part(ENDPOINT, 10_000 + GONE_MS + TAKEOVER_MS));
    assertEquals(7 / 8.0, second.part(ENDPOINT, 10_001 + GONE_MS + TAKEOVER_MS));
  }

  @Test
  void aHostThatStopsAsPlannedIsFollowedAtOnce() {
    hear(second, 0, 7, 0, 10_000);
    second.observed(member(RANKED[0]).stopping(), 10_100);
    assertEquals(RANKED[1], second.issuer(ENDPOINT, 10_100).identity().host());
    assertEquals(1, second.part(ENDPOINT, 10_100));
    best.check(0);
    best.stop();
    hear(best, 1, 7, 0, 10_000);
    assertEquals(0, best.part(ENDPOINT, 10_000));
    assertEquals(RANKED[1], best.issuer(ENDPOINT, 10_000).identity().host());
  }

  @Test
  void hostsThatHearOnlySomeIssueTheirPart() {
    hear(best, 1, 7, 0, 10_000);
    hear(best, 1, 1, 11_000, 20_000);
    assertEquals(2 / 8.0, best.part(ENDPOINT, 20_000));
  }

  @Test
  void aHostThatHearsNobodyIssuesNothing() {
    hear(best, 1, 7, 0, 10_000);
    hear(best, 1, 0, 11_000, 20_000);
    assertEquals(1, best.part(ENDPOINT, 10_000 + GONE_MS));
    assertEquals(0, best.part(ENDPOINT, 10_001 + GONE_MS));
    assertEquals(0, selectorThatRuns(true).part(ENDPOINT, 20_000), "it has found nobody yet");
    assertEquals(1, selectorThatRuns(false).part(ENDPOINT, 20_000), "there is nobody else");
  }

  private static IssuerSelector selectorThatRuns(boolean hasSeeds) {
    IssuerSelector selector = selector(RANKED[0], hasSeeds);
    hear(selector, 1, 0, 0, 20_000);
    return selector;
  }

  @Test
  void aHostThatStoodStillWaitsAgain() {
    hear(best, 1, 7, 0, 10_000);
    long resumedMs = 10_001 + IssuerSelector.MAX_PAUSE_MS;
    hear(best, 1, 7, resumedMs, resumedMs + TAKEOVER_MS);
    assertEquals(0, best.part(ENDPOINT, resumedMs + TAKEOVER_MS - 1));
    assertEquals(1, best.part(ENDPOINT, resumedMs + TAKEOVER_MS));
  }

  @Test
  void buildsWithoutPermitsIssueNoneAndAreNotWaitedFor() {
    for (long nowMs = 0; nowMs <= 10_000; nowMs += 1_000) {
      second.observed(member(RANKED[0]).stopping(), nowMs);
      second.check(nowMs);
    }
    assertEquals(1, second.part(ENDPOINT, 10_000));
    IssuerSelector stopped = selector(RANKED[1], true);
    stopped.stop();
    assertNull(stopped.issuer(ENDPOINT, 0), "nobody issues any");
  }

  @Test
  void hostsThatLeftLongAgoAreForgotten() {
    hear(best, 1, 7, 0, 10_000);
    hear(best, 1, 3, 11_000, 12_000 + IssuerSelector.MEMORY_MS);
    assertEquals(1, best.part(ENDPOINT, 12_000 + IssuerSelector.MEMORY_MS));
  }

  /** Whoever is not heard loses its part to hosts that take the places of planned leavers. */
  @Test
  void aPlannedLeaverKeepsItsPlaceUntilAnotherTakesIt() {
    hear(best, 1, 2, 0, 10_000);
    best.observed(member(RANKED[1]).stopping(), 11_000);
    best.observed(member(RANKED[2]).stopping(), 11_000);
    hear(best, 1, 0, 11_000, 20_000);
    assertEquals(1 / 3.0, best.part(ENDPOINT, 20_000), "it may be cut off from their successors");
    hear(best, 3, 4, 21_000, 22_000);
    assertEquals(1, best.part(ENDPOINT, 22_000));
    hear(best, 1, 0, 23_000, 30_000);
    assertEquals(1 / 3.0, best.part(ENDPOINT, 30_000));
  }

  /** A fleet that is made smaller would issue less than its rate for good. */
  @Test
  void thePlaceOfAPlannedLeaverIsForgotten() {
    hear(best, 1, 2, 0, 10_000);
    best.observed(member(RANKED[2]).stopping(), 11_000);
    long forgottenMs = 11_001 + IssuerPresence.REPLACEMENT_MS;
    hear(best, 1, 1, 11_000, forgottenMs);
    assertEquals(2 / 3.0, best.part(ENDPOINT, forgottenMs - 1));
    assertEquals(1, best.part(ENDPOINT, forgottenMs));
  }

  /** Hosts that join on one side of a cut give it more weight, of which the other knows nothing. */
  @Test
  void hostsThatJoinBesideACutAddNoWeight() {
    hear(best, 1, 3, 0, 10_000);
    hear(best, 1, 1, 11_000, 20_000);
    hear(best, 4, 7, 19_000, 20_000);
    assertEquals(2 / 4.0, best.part(ENDPOINT, 20_000));
  }

  /** A host that starts takes those that it hears for the fleet, and issues the whole rate. */
  @Test
  void aHostThatStartsLeavesTheRateToThoseThatKnowTheFleet() {
    long startMs = 50_000;
    long newcomerEndMs = startMs + IssuerSelector.NEWCOMER_MS;
    hear(best, 1, 3, startMs, newcomerEndMs - 1_000);
    assertEquals(member(RANKED[1]), best.issuer(ENDPOINT, newcomerEndMs - 1));
    assertEquals(0, best.part(ENDPOINT, newcomerEndMs - 1));
    hear(best, 1, 3, newcomerEndMs, newcomerEndMs + TAKEOVER_MS);
    assertEquals(0, best.part(ENDPOINT, newcomerEndMs + TAKEOVER_MS - 1));
    assertEquals(1, best.part(ENDPOINT, newcomerEndMs + TAKEOVER_MS));
  }

  /** Nobody issues for seconds after the last of those has left that knew the fleet. */
  @Test
  void theBestOfTheNewHostsFollowsTheLastIssuerAtOnce() {
    for (long nowMs = 50_000; nowMs <= 58_000; nowMs += 1_000) {
      best.observed(member(RANKED[1]).starting(), nowMs);
      best.observed(member(RANKED[7]), nowMs);
      best.check(nowMs);
    }
    assertEquals(0, best.part(ENDPOINT, 58_000));
    best.observed(member(RANKED[7]).stopping(), 58_500);
    best.check(58_500);
    assertEquals(1, best.part(ENDPOINT, 58_500));
  }

  /** Hosts that start on one side of a cut know of the other only what their settings say. */
  @Test
  void aSeedThatWasNeverHeardIsPartOfTheFleet() {
    long newcomerEndMs = IssuerSelector.NEWCOMER_MS;
    for (long nowMs = 0; nowMs <= newcomerEndMs + TAKEOVER_MS; nowMs += 1_000) {
      best.observed(member(RANKED[2]).starting(), nowMs);
      best.observed(member(RANKED[3]).starting(), nowMs);
      best.check(nowMs);
      assertEquals(nowMs < newcomerEndMs ? 0 : 3 / 4.0, best.part(ENDPOINT, nowMs));
    }
  }
}
