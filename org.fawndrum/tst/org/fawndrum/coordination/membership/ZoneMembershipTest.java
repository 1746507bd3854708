// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.fawndrum.state.EntryHost;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.junit.jupiter.api.Test;

/**
 * Heartbeats under kills, replacements and network partitions: a healed zone sees exactly the
 * living daemons.
 */
class ZoneMembershipTest {
  private static final int HOSTS = 5;

  private static HostAddress address(int index) {
    return new HostAddress("127.0.0.1", 100 + index);
  }

  private static PeerFacts facts(HostIdentity identity, int index, long sequence) {
    return new PeerFacts(identity, "z", address(index), sequence, 1, 1, 1, false, 0, 0);
  }

  private static final class Zone {
    final Random random;
    final List<ZoneMembership> members = new ArrayList<>();
    final List<HostIdentity> identities = new ArrayList<>();
    final long[] sequences = new long[HOSTS];
    final boolean[] dead = new boolean[HOSTS];
    final Set<String> brokenLinks = new HashSet<>();
    long nowMs = 1;

    Zone(long seed) {
      random = new Random(seed);
      for (int i = 0; i < HOSTS; i++) {
        identities.add(new HostIdentity("h" + i, 1));
        members.add(newMember(i));
      }
    }

    ZoneMembership newMember(int index) {
      ZoneMembership member =
          new ZoneMembership(
              identities.get(index), "z", MembershipSettings.DEFAULT, List.of(address(0)));
      List<EntryHost> listed = new ArrayList<>();
      for (int i = 0; i < HOSTS; i++) {
        listed.add(new EntryHost("h" + i, "z", address(i)));
      }
      member.setEntryHosts(listed);
      return member;
    }

    void round() {
      nowMs += 250;
      for (int from = 0; from < HOSTS; from++) {
        if (dead[from]) {
          continue;
        }
        members.get(from).updateSuspects(nowMs);
        for (HostAddress to : members.get(from).dueHeartbeats(nowMs)) {
          deliver(from, to.port() - 100);
        }
      }
    }

    private void deliver(int from, int to) {
      if (dead[to] || brokenLinks.contains(from + ">" + to)) {
        return;
      }
      members.get(to).receive(facts(identities.get(from), from, ++sequences[from]), nowMs);
    }

    void disturb() {
      int at = random.nextInt(HOSTS);
      switch (random.nextInt(4)) {
        case 0 -> dead[at] = true;
        case 1 -> {
          dead[at] = false;
          HostIdentity old = identities.get(at);
          identities.set(at, new HostIdentity(old.host(), old.incarnation() + 1));
          sequences[at] = 0;
          members.set(at, newMember(at));
        }
        case 2 -> brokenLinks.add(at + ">" + random.nextInt(HOSTS));
        default -> brokenLinks.clear();
      }
    }
  }

  @Property(tries = 300, seed = "71")
  void healedZoneSeesExactlyTheLivingDaemons(@ForAll long seed) {
    Zone zone = new Zone(seed);
    for (int step = 0; step < 120; step++) {
      if (zone.random.nextInt(8) == 0) {
        zone.disturb();
      }
      zone.round();
    }
    zone.brokenLinks.clear();
    for (int step = 0; step < 40; step++) {
      zone.round();
    }
    for (int i = 0; i < HOSTS; i++) {
      if (zone.dead[i]) {
        continue;
      }
      Set<HostIdentity> expected = new HashSet<>();
      for (int other = 0; other < HOSTS; other++) {
        if (other != i && !zone.dead[other]) {
          expected.add(zone.identities.get(other));
        }
      }
      Set<HostIdentity> seen = new HashSet<>();
      zone.members.get(i).livingInZone().forEach(facts -> seen.add(facts.identity()));
      assertEquals(expected, seen);
    }
  }

  @Test
  void earlierIncarnationIsDropped() {
    ZoneMembership member = new Zone(1).newMember(0);
    member.receive(facts(new HostIdentity("h1", 5), 1, 1), 10);
    member.receive(facts(new HostIdentity("h1", 4), 1, 99), 20);
    assertEquals(5, member.livingInZone().get(0).identity().incarnation());
  }

  @Test
  void oneZoneLeaderIfAllSeeEachOther() {
    Zone zone = new Zone(2);
    for (int i = 0; i < 10; i++) {
      zone.round();
    }
    Map<HostIdentity, Integer> leaders = new HashMap<>();
    zone.members.forEach(member -> leaders.merge(member.zoneLeader(), 1, Integer::sum));
    assertEquals(Map.of(zone.identities.get(0), HOSTS), leaders);
  }

  @Test
  void intervalGrowsToBoundTheTraffic() {
    MembershipSettings settings = MembershipSettings.DEFAULT;
    assertEquals(1_000, settings.intervalMs(8));
    assertEquals(2_000, settings.intervalMs(25));
    assertTrue(60_000 / settings.intervalMs(60) <= 25_000 / settings.intervalMs(25) + 1);
  }
}
