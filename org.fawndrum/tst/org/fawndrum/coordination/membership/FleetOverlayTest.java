// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.junit.jupiter.api.Test;

/** Who is alive, who speaks for a zone, and which reports are news. */
class FleetOverlayTest {
  private final List<String> seen = new ArrayList<>();
  private final FleetMember self = member("a-2", 1, "a", 20);
  private final FleetOverlay overlay = new FleetOverlay(self, new Watch());

  /** Writes down who comes and goes. */
  private final class Watch implements FleetOverlay.Watcher {
    @Override
    public void appeared(FleetMember member) {
      seen.add("+" + member.identity().host() + "/" + member.identity().incarnation());
    }

    @Override
    public void gone(FleetMember member, long silentMs) {
      HostIdentity who = member.identity();
      seen.add("-" + who.host() + "/" + who.incarnation() + " " + silentMs);
    }
  }

  private static FleetMember member(String host, long incarnation, String zone, long capacity) {
    HostIdentity identity = new HostIdentity(host, incarnation);
    return new FleetMember(identity, new HostAddress(host, 7), zone, capacity);
  }

  private static FleetReport whole(FleetMember of, long sequence) {
    return new FleetReport(
        of.identity(), Optional.of(of), sequence, FleetReport.EVERYWHERE, true, List.of());
  }

  private static FleetReport part(FleetMember of, long sequence) {
    return new FleetReport(
        of.identity(), Optional.empty(), sequence, FleetReport.EVERYWHERE, false, List.of());
  }

  @Test
  void aNewIncarnationTakesThePlaceOfTheOneBefore() {
    overlay.heardDirectly(member("a-3", 1, "a", 1), true, 0);
    overlay.heardDirectly(member("a-3", 2, "a", 1), true, 10);
    assertEquals(List.of("+a-3/1", "-a-3/1 10", "+a-3/2"), seen);
    assertEquals(List.of(member("a-3", 2, "a", 1)), overlay.alive());
  }

  /** What a host saw of endpoints counts for more while some other is not heard. */
  @Test
  void allAreHeardAgainOnceOneHasStartedAnew() {
    overlay.heardDirectly(member("a-3", 1, "a", 1), true, 0);
    assertTrue(overlay.hearsAll(1_000));
    assertFalse(overlay.hearsAll(5_000));
    overlay.heardDirectly(member("a-3", 2, "a", 1), true, 5_000);
    assertTrue(overlay.hearsAll(5_000));
  }

  @Test
  void aLateReportOfTheIncarnationBeforeIsNoNews() {
    FleetMember before = member("a-3", 1, "a", 1);
    FleetMember now = member("a-3", 2, "a", 1);
    assertTrue(overlay.take(whole(before, 30), 0));
    assertTrue(overlay.take(whole(now, 1), 10));
    assertFalse(overlay.take(whole(before, 31), 20));
    assertFalse(overlay.take(whole(now, 1), 30));
    assertEquals(List.of(now), overlay.alive());
  }

  /** Two speakers that passed such reports to each other did so for ever. */
  @Test
  void reportsOfTwoIncarnationsDoNotRunInCircles() {
    FleetOverlay other = new FleetOverlay(member("b-1", 1, "b", 20), new Watch());
    List<FleetReport> passed =
        List.of(whole(member("a-3", 1, "a", 1), 30), whole(member("a-3", 2, "a", 1), 1));
    int hops = 0;
    while (!passed.isEmpty() && hops < 100) {
      FleetOverlay next = hops % 2 == 0 ? overlay : other;
      passed = passed.stream().filter(report -> next.take(report, 0)).toList();
      hops++;
    }
    assertTrue(hops <= 4, "hops " + hops);
  }

  @Test
  void aHostThatStartsAfterItsClockWentBackIsHeardFromItself() {
    overlay.heardDirectly(member("a-3", 9, "a", 1), true, 0);
    overlay.heardDirectly(member("a-3", 4, "a", 1), true, 10);
    assertEquals(List.of(member("a-3", 4, "a", 1)), overlay.alive());
  }

  @Test
  void aZoneIsSilentWhenNoDaemonOfItIsHeard() {
    overlay.heardDirectly(member("b-1", 1, "b", 1), false, 0);
    overlay.heardDirectly(member("b-2", 1, "b", 1), false, 1_500);
    overlay.heardDirectly(member("a-3", 1, "a", 1), false, 0);
    assertEquals(Set.of(), overlay.silentZones(3_500));
    assertEquals(Set.of("b"), overlay.silentZones(3_501));
    assertTrue(overlay.take(whole(member("b-1", 1, "b", 1), 5), 4_000));
    assertEquals(Set.of(), overlay.silentZones(4_001));
  }

  @Test
  void aSilentDaemonIsGoneOnceAndItsAddressIsTriedForAMinute() {
    FleetMember other = member("a-3", 1, "a", 1);
    overlay.heardDirectly(other, false, 0);
    overlay.forget(3_500);
    assertEquals(List.of("+a-3/1"), seen);
    overlay.forget(3_501);
    overlay.forget(4_501);
    assertEquals(List.of("+a-3/1", "-a-3/1 3501"), seen);
    assertEquals(List.of(), overlay.alive());
    overlay.forget(60_000);
    assertEquals(List.of(other.address()), overlay.silent());
    overlay.forget(60_001);
    assertEquals(List.of(), overlay.silent());
  }

  @Test
  void itselfIsNotAnotherDaemon() {
    overlay.heardDirectly(self, true, 0);
    overlay.learn(List.of(self, member("a-3", 1, "a", 1)), 0);
    assertFalse(overlay.take(whole(self, 9), 0));
    assertEquals(List.of(member("a-3", 1, "a", 1)), overlay.alive());
  }

  @Test
  void theLargestOfTheZoneSpeaksAndTheNameDecidesBetweenEqualOnes() {
    assertEquals(self, overlay.speaker(0));
    FleetMember small = member("a-0", 1, "a", 10);
    FleetMember equal = member("a-1", 1, "a", 20);
    FleetMember elsewhere = member("b-1", 1, "b", 200);
    overlay.learn(List.of(small, elsewhere), 0);
    assertEquals(self, overlay.speaker(0));
    overlay.learn(List.of(equal), 0);
    assertEquals(equal, overlay.speaker(0));
  }

  @Test
  void aSpeakerThatSendsNothingIsReplacedForAWhile() {
    FleetMember best = member("a-1", 1, "a", 200);
    overlay.learn(List.of(best), 0);
    assertEquals(best, overlay.speaker(0));
    overlay.heardDirectly(best, false, 1_000);
    assertEquals(best, overlay.speaker(2_200));
    assertEquals(self, overlay.speaker(2_201));
    overlay.take(whole(best, 1), 6_000);
    assertEquals(self, overlay.speaker(7_200));
    assertEquals(best, overlay.speaker(7_201));
  }

  @Test
  void aReportIsNewsOnce() {
    FleetMember other = member("a-3", 1, "a", 1);
    assertFalse(overlay.take(part(other, 1), 0));
    assertTrue(overlay.take(whole(other, 2), 0));
    assertFalse(overlay.take(whole(other, 2), 0));
    assertTrue(overlay.take(part(other, 3), 0));
    assertFalse(overlay.take(part(other, 2), 0));
    assertTrue(overlay.take(whole(member("a-3", 2, "a", 1), 1), 0));
  }

  @Test
  void aReportSeenBeforeIsNoSignOfLife() {
    FleetMember other = member("a-3", 1, "a", 1);
    overlay.take(whole(other, 2), 0);
    overlay.take(whole(other, 2), 3_000);
    overlay.forget(3_501);
    assertEquals(List.of(), overlay.alive());
  }

  @Test
  void oneThatOnlySubscribesToAnotherSendsToItsSpeakerAlone() {
    FleetMember best = member("a-1", 1, "a", 200);
    FleetMember elsewhere = member("b-1", 1, "b", 200);
    overlay.learn(List.of(best, elsewhere, member("a-3", 1, "a", 1)), 0);
    assertFalse(overlay.passesOn(0));
    assertEquals(List.of(best), overlay.near(0));
    assertEquals(List.of(), overlay.far(0));
  }

  @Test
  void aSpeakerSendsToItsSubscribersAndTheBestOfOtherZones() {
    FleetMember subscriber = member("a-3", 1, "a", 1);
    FleetMember best = member("b-1", 1, "b", 200);
    FleetMember other = member("b-2", 1, "b", 20);
    overlay.learn(List.of(best, other, member("a-4", 1, "a", 1)), 0);
    overlay.heardDirectly(subscriber, true, 0);
    assertTrue(overlay.passesOn(0));
    assertEquals(List.of(subscriber), overlay.near(0));
    assertEquals(List.of(best), overlay.far(0));
    overlay.heardDirectly(other, true, 0);
    assertEquals(List.of(other, best), overlay.far(0));
    assertTrue(overlay.knowsBetter(other, 0));
    assertFalse(overlay.knowsBetter(best, 0));
    overlay.heardDirectly(other, false, 4_000);
    assertFalse(overlay.far(4_000).contains(other));
  }
}
