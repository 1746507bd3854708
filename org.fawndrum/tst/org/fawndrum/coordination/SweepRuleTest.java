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
import org.fawndrum.coordination.membership.ZoneTasks;
import org.fawndrum.state.HostIdentity;
import org.junit.jupiter.api.Test;

/** The streams of an absent owner are released, and those of a slow owner never are. */
class SweepRuleTest {
  private static final HostIdentity OWNER = new HostIdentity("a", 3);

  /** An owner status set by the test. */
  private static final class FakeOwnerStatus implements SweepRule.OwnerStatus {
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
  void recentlySeenOwnerIsNeverSwept(@ForAll long seed) {
    Random random = new Random(seed);
    SweepRule rule = new SweepRule();
    FakeOwnerStatus status = new FakeOwnerStatus();
    long nowMs = 0;
    long lastSeenMs = 0;
    for (int step = 0; step < 60; step++) {
      nowMs += random.nextInt(20_000);
      status.listed = random.nextInt(8) == 0;
      status.alive = random.nextInt(8) == 0;
      lastSeenMs = status.listed || status.alive ? nowMs : lastSeenMs;
      List<HostIdentity> swept = rule.sweepable(Set.of(OWNER), status, nowMs);
      assertTrue(swept.isEmpty() || nowMs - lastSeenMs >= SweepRule.MIN_ABSENCE_MS);
    }
  }

  @Test
  void absentOwnerIsSweptAfterTheMinimumAbsence() {
    SweepRule rule = new SweepRule();
    FakeOwnerStatus status = new FakeOwnerStatus();
    assertEquals(List.of(), rule.sweepable(Set.of(OWNER), status, 0));
    assertEquals(List.of(), rule.sweepable(Set.of(OWNER), status, SweepRule.MIN_ABSENCE_MS - 1));
    assertEquals(List.of(OWNER), rule.sweepable(Set.of(OWNER), status, SweepRule.MIN_ABSENCE_MS));
  }

  @Test
  void replacedOwnerIsSweptEvenIfItsHostIsListed() {
    SweepRule rule = new SweepRule();
    FakeOwnerStatus status = new FakeOwnerStatus();
    status.listed = true;
    status.replaced = true;
    rule.sweepable(Set.of(OWNER), status, 0);
    assertEquals(List.of(OWNER), rule.sweepable(Set.of(OWNER), status, SweepRule.MIN_ABSENCE_MS));
  }

  @Property(tries = 500, seed = "82")
  void eachTaskHasOneOwnerAndMovesOnlyWhenItsHostIsGone(@ForAll long seed) {
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
        (task, host) -> assertTrue(host.equals(gone) || host.equals(after.get(task)), task));
  }

  private static Map<String, String> owners(Set<String> hosts) {
    Map<String, String> owners = new HashMap<>();
    for (int task = 0; task < 40; task++) {
      String name = "engine-" + task;
      for (String host : hosts) {
        Set<String> otherHosts = new HashSet<>(hosts);
        otherHosts.remove(host);
        if (ZoneTasks.isOwner(name, host, otherHosts)) {
          assertEquals(null, owners.put(name, host));
        }
      }
      assertTrue(owners.containsKey(name));
    }
    return owners;
  }
}
