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

/** Which daemons are alive, which one leads a zone, and which reports are new. */
class FleetOverlayTest {
  private final List<String> events = new ArrayList<>();
  private final FleetMember self = member("a-2", 1, "a", 20);
  private final FleetOverlay overlay = new FleetOverlay(self, new RecordingWatcher());

  /** Records which daemons appear and are gone. */
  private final class RecordingWatcher implements FleetOverlay.Watcher {
    @Override
    public void appeared(FleetMember member) {
      events.add("+" + member.identity().host() + "/" + member.identity().incarnation());
    }

    @Override
    public void gone(FleetMember member, long silentMs) {
      HostIdentity identity = member.identity();
      events.add("-" + identity.host() + "/" + identity.incarnation() + " " + silentMs);
    }
  }

  private static FleetMember member(String host, long incarnation, String zone, long capacity) {
    HostIdentity identity = new HostIdentity(host, incarnation);
    return new FleetMember(identity, new HostAddress(host, 7), zone, capacity);
  }

  private static FleetReport complete(FleetMember of, long sequence) {
    return new FleetReport(
        of.identity(), Optional.of(of), sequence, FleetReport.ALL_ZONES, true, List.of());
  }

  private static FleetReport partial(FleetMember of, long sequence) {
    return new FleetReport(
        of.identity(), Optional.empty(), sequence, FleetReport.ALL_ZONES, false, List.of());
  }

  @Test
  void newIncarnationReplacesThePreviousOne() {
    overlay.receivedFrom(member("a-3", 1, "a", 1), true, 0);
    overlay.receivedFrom(member("a-3", 2, "a", 1), true, 10);
    assertEquals(List.of("+a-3/1", "-a-3/1 10", "+a-3/2"), events);
    assertEquals(List.of(member("a-3", 2, "a", 1)), overlay.alive());
  }

  /** While a host is not reporting, more crashes are required as evidence against a request. */
  @Test
  void allHostsReportAgainAfterARestart() {
    overlay.receivedFrom(member("a-3", 1, "a", 1), true, 0);
    assertTrue(overlay.allHostsReporting(1_000));
    assertFalse(overlay.allHostsReporting(5_000));
    overlay.receivedFrom(member("a-3", 2, "a", 1), true, 5_000);
    assertTrue(overlay.allHostsReporting(5_000));
  }

  @Test
  void lateReportOfThePreviousIncarnationIsDropped() {
    FleetMember previous = member("a-3", 1, "a", 1);
    FleetMember current = member("a-3", 2, "a", 1);
    assertTrue(overlay.accept(complete(previous, 30), 0));
    assertTrue(overlay.accept(complete(current, 1), 10));
    assertFalse(overlay.accept(complete(previous, 31), 20));
    assertFalse(overlay.accept(complete(current, 1), 30));
    assertEquals(List.of(current), overlay.alive());
  }

  /**
   * After a loss of power all hosts asked the same few, which then forwarded all reports to each of
   * them for seconds, beside their leaders.
   */
  @Test
  void aHostThatLooksForItsLeaderIsToldOfItAndDoesNotSubscribe() {
    FleetMember sameZone = member("a-3", 1, "a", 1);
    FleetMember otherZone = member("b-3", 1, "b", 1);
    overlay.receivedFrom(member("a-1", 1, "a", 100), true, 0);
    overlay.receivedFrom(member("b-1", 1, "b", 100), true, 0);
    overlay.receivedFrom(sameZone, true, 10);
    overlay.receivedFrom(otherZone, true, 10);
    assertTrue(overlay.tells(sameZone, true, 10));
    assertTrue(overlay.tells(otherZone, true, 10));
    assertFalse(overlay.sameZoneLinks(10).contains(sameZone));
    assertFalse(overlay.otherZoneLinks(10).contains(otherZone));
    // They know it better, or were not told.
    overlay.receivedFrom(sameZone, true, 1_000);
    overlay.receivedFrom(otherZone, true, 1_000);
    assertTrue(overlay.sameZoneLinks(1_000).contains(sameZone));
    assertTrue(overlay.otherZoneLinks(1_000).contains(otherZone));
  }

  /** Guards against two zone leaders that forwarded such reports to each other forever. */
  @Test
  void reportsOfTwoIncarnationsDoNotCirculate() {
    FleetOverlay other = new FleetOverlay(member("b-1", 1, "b", 20), new RecordingWatcher());
    List<FleetReport> forwarded =
        List.of(complete(member("a-3", 1, "a", 1), 30), complete(member("a-3", 2, "a", 1), 1));
    int hops = 0;
    while (!forwarded.isEmpty() && hops < 100) {
      FleetOverlay next = hops % 2 == 0 ? overlay : other;
      forwarded = forwarded.stream().filter(report -> next.accept(report, 0)).toList();
      hops++;
    }
    assertTrue(hops <= 4, "hops " + hops);
  }

  @Test
  void directMessageOfAnEarlierIncarnationIsAccepted() {
    overlay.receivedFrom(member("a-3", 9, "a", 1), true, 0);
    overlay.receivedFrom(member("a-3", 4, "a", 1), true, 10);
    assertEquals(List.of(member("a-3", 4, "a", 1)), overlay.alive());
  }

  @Test
  void zoneIsSilentIfNoneOfItsDaemonsReports() {
    overlay.receivedFrom(member("b-1", 1, "b", 1), false, 0);
    overlay.receivedFrom(member("b-2", 1, "b", 1), false, 1_500);
    overlay.receivedFrom(member("a-3", 1, "a", 1), false, 0);
    assertEquals(Set.of(), overlay.silentZones(3_500));
    assertEquals(Set.of("b"), overlay.silentZones(3_501));
    assertTrue(overlay.accept(complete(member("b-1", 1, "b", 1), 5), 4_000));
    assertEquals(Set.of(), overlay.silentZones(4_001));
  }

  @Test
  void silentDaemonIsGoneOnceAndItsAddressIsKeptForAMinute() {
    FleetMember other = member("a-3", 1, "a", 1);
    overlay.receivedFrom(other, false, 0);
    overlay.expire(3_500);
    assertEquals(List.of("+a-3/1"), events);
    overlay.expire(3_501);
    overlay.expire(4_501);
    assertEquals(List.of("+a-3/1", "-a-3/1 3501"), events);
    assertEquals(List.of(), overlay.alive());
    overlay.expire(60_000);
    assertEquals(List.of(other.address()), overlay.silentAddresses());
    overlay.expire(60_001);
    assertEquals(List.of(), overlay.silentAddresses());
  }

  @Test
  void ownIdentityIsIgnored() {
    overlay.receivedFrom(self, true, 0);
    overlay.addMembers(List.of(self, member("a-3", 1, "a", 1)), 0);
    assertFalse(overlay.accept(complete(self, 9), 0));
    assertEquals(List.of(member("a-3", 1, "a", 1)), overlay.alive());
  }

  @Test
  void zoneLeaderHasTheLargestCapacityThenTheLowestName() {
    assertEquals(self, overlay.zoneLeader(0));
    FleetMember small = member("a-0", 1, "a", 10);
    FleetMember equal = member("a-1", 1, "a", 20);
    FleetMember elsewhere = member("b-1", 1, "b", 200);
    overlay.addMembers(List.of(small, elsewhere), 0);
    assertEquals(self, overlay.zoneLeader(0));
    overlay.addMembers(List.of(equal), 0);
    assertEquals(equal, overlay.zoneLeader(0));
  }

  @Test
  void silentZoneLeaderIsReplacedForAWhile() {
    FleetMember best = member("a-1", 1, "a", 200);
    overlay.addMembers(List.of(best), 0);
    assertEquals(best, overlay.zoneLeader(0));
    overlay.receivedFrom(best, false, 1_000);
    assertEquals(best, overlay.zoneLeader(2_200));
    assertEquals(self, overlay.zoneLeader(2_201));
    overlay.accept(complete(best, 1), 6_000);
    assertEquals(self, overlay.zoneLeader(7_200));
    assertEquals(best, overlay.zoneLeader(7_201));
  }

  @Test
  void reportIsAcceptedOnce() {
    FleetMember other = member("a-3", 1, "a", 1);
    assertFalse(overlay.accept(partial(other, 1), 0));
    assertTrue(overlay.accept(complete(other, 2), 0));
    assertFalse(overlay.accept(complete(other, 2), 0));
    assertTrue(overlay.accept(partial(other, 3), 0));
    assertFalse(overlay.accept(partial(other, 2), 0));
    assertTrue(overlay.accept(complete(member("a-3", 2, "a", 1), 1), 0));
  }

  @Test
  void duplicateReportIsNoSignOfLife() {
    FleetMember other = member("a-3", 1, "a", 1);
    overlay.accept(complete(other, 2), 0);
    overlay.accept(complete(other, 2), 3_000);
    overlay.expire(3_501);
    assertEquals(List.of(), overlay.alive());
  }

  @Test
  void subscriberSendsOnlyToItsZoneLeader() {
    FleetMember best = member("a-1", 1, "a", 200);
    FleetMember elsewhere = member("b-1", 1, "b", 200);
    overlay.addMembers(List.of(best, elsewhere, member("a-3", 1, "a", 1)), 0);
    assertFalse(overlay.forwards(0));
    assertEquals(List.of(best), overlay.sameZoneLinks(0));
    assertEquals(List.of(), overlay.otherZoneLinks(0));
  }

  @Test
  void zoneLeaderSendsToItsSubscribersAndTheBestOfOtherZones() {
    FleetMember subscriber = member("a-3", 1, "a", 1);
    FleetMember best = member("b-1", 1, "b", 200);
    FleetMember other = member("b-2", 1, "b", 20);
    overlay.addMembers(List.of(best, other, member("a-4", 1, "a", 1)), 0);
    overlay.receivedFrom(subscriber, true, 0);
    assertTrue(overlay.forwards(0));
    assertEquals(List.of(subscriber), overlay.sameZoneLinks(0));
    assertEquals(List.of(best), overlay.otherZoneLinks(0));
    overlay.receivedFrom(other, true, 0);
    assertEquals(List.of(other, best), overlay.otherZoneLinks(0));
    assertTrue(overlay.hasCloserLeader(other, 0));
    assertFalse(overlay.hasCloserLeader(best, 0));
    overlay.receivedFrom(other, false, 4_000);
    assertFalse(overlay.otherZoneLinks(4_000).contains(other));
  }
}
