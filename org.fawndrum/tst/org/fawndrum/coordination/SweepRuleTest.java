// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.fawndrum.coordination.membership.ZoneDuties;
import org.fawndrum.state.HostIdentity;
import org.junit.jupiter.api.Test;

/** What a gone owner left is freed, and a slow owner is never robbed. */
class SweepRuleTest {
  private static final HostIdentity OWNER = new HostIdentity("a", 3);

  /** Knowledge that a test sets. */
  private static final class Knowledge implements SweepRule.Known {
    boolean replaced;
    boolean listed;
    boolean alive;

    @Override
    public boolean replaced(HostIdentity owner) {
      return replaced;
    }

    @Override
    public boolean listed(HostIdentity owner) {
      return listed;
    }

    @Override
    public boolean alive(HostIdentity owner) {
      return alive;
    }
  }

  @Property(tries = 3_000, seed = "81")
  void ownerSeenWithinTheTimeIsNeverRobbed(@ForAll long seed) {
    Random random = new Random(seed);
    SweepRule rule = new SweepRule();
    Knowledge known = new Knowledge();
    long nowMs = 0;
    long seenMs = 0;
    for (int step = 0; step < 60; step++) {
      nowMs += random.nextInt(20_000);
      known.listed = random.nextInt(8) == 0;
      known.alive = random.nextInt(8) == 0;
      seenMs = known.listed || known.alive ? nowMs : seenMs;
      List<HostIdentity> swept = rule.sweepable(Set.of(OWNER), known, nowMs);
      assertTrue(swept.isEmpty() || nowMs - seenMs >= SweepRule.MIN_ABSENCE_MS);
    }
  }

  @Test
  void goneOwnerIsFreedAfterTheTime() {
    SweepRule rule = new SweepRule();
    Knowledge known = new Knowledge();
    assertEquals(List.of(), rule.sweepable(Set.of(OWNER), known, 0));
    assertEquals(List.of(), rule.sweepable(Set.of(OWNER), known, SweepRule.MIN_ABSENCE_MS - 1));
    assertEquals(List.of(OWNER), rule.sweepable(Set.of(OWNER), known, SweepRule.MIN_ABSENCE_MS));
  }

  @Test
  void replacedOwnerIsFreedThoughItsHostIsListed() {
    SweepRule rule = new SweepRule();
    Knowledge known = new Knowledge();
    known.listed = true;
    known.replaced = true;
    rule.sweepable(Set.of(OWNER), known, 0);
    assertEquals(List.of(OWNER), rule.sweepable(Set.of(OWNER), known, SweepRule.MIN_ABSENCE_MS));
  }

  @Property(tries = 500, seed = "82")
  void eachDutyIsOneHostsAndMovesOnlyWithItsHost(@ForAll long seed) {
    Random random = new Random(seed);
    Set<String> hosts = new HashSet<>();
    while (hosts.size() < 6) {
      hosts.add("host-" + random.nextInt(1_000));
    }
    Map<String, String> before = owners(hosts);
    String gone = hosts.iterator().next();
    hosts.remove(gone);
    Map<String, String> after = owners(hosts);
    before.forEach(
        (duty, host) -> assertTrue(host.equals(gone) || host.equals(after.get(duty)), duty));
  }

  private static Map<String, String> owners(Set<String> hosts) {
    Map<String, String> owners = new HashMap<>();
    for (int duty = 0; duty < 40; duty++) {
      String name = "engine-" + duty;
      for (String host : hosts) {
        Set<String> others = new HashSet<>(hosts);
        others.remove(host);
        if (ZoneDuties.mine(name, host, others)) {
          assertEquals(null, owners.put(name, host));
        }
      }
      assertTrue(owners.containsKey(name));
    }
    return owners;
  }
}
