// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;

/**
 * A fleet of overlays that exchange reports without delay. After daemons die or are cut off and the
 * overlays have had time to notice, each report reaches all daemons that can be reached, each one
 * accepts it once, and the number of messages is proportional to the number of daemons, not of
 * their pairs.
 */
class FleetSpreadTest {
  private static final int ZONES = 3;
  private static final long STEP_MS = 100;
  private static final int HEARTBEAT_STEPS = 10;

  private final Map<String, Node> nodes = new LinkedHashMap<>();
  private final Set<String> dead = new HashSet<>();
  private String partitionedZone;
  private long nowMs;
  private int messages;

  /** One daemon: its overlay, and the reports that it accepted. */
  private final class Node implements FleetOverlay.Watcher {
    final FleetMember member;
    final FleetOverlay overlay;
    final List<String> accepted = new ArrayList<>();
    long sequence;

    Node(FleetMember member) {
      this.member = member;
      this.overlay = new FleetOverlay(member, this);
    }

    @Override
    public void appeared(FleetMember other) {}

    @Override
    public void gone(FleetMember other, long silentMs) {}

    void step(boolean heartbeat, FleetMember seed) {
      overlay.expire(nowMs);
      FleetMember leader = overlay.zoneLeader(nowMs);
      if (heartbeat) {
        List<FleetMember> to = new ArrayList<>(overlay.otherZoneLinks(nowMs));
        to.add(leader.equals(member) ? seed : leader);
        FleetReport complete =
            new FleetReport(
                member.identity(),
                Optional.of(member),
                ++sequence,
                FleetReport.ALL_ZONES,
                true,
                List.of());
        to.forEach(target -> send(this, target, true, List.of(complete)));
        if (overlay.forwards(nowMs)) {
          forward(List.of(complete));
        }
      } else if (overlay.forwards(nowMs)) {
        forward(List.of());
      }
    }

    void report() {
      FleetReport report =
          new FleetReport(
              member.identity(),
              Optional.empty(),
              ++sequence,
              FleetReport.ALL_ZONES,
              false,
              List.of());
      forward(List.of(report));
    }

    void forward(List<FleetReport> reports) {
      List<FleetMember> to = new ArrayList<>(overlay.sameZoneLinks(nowMs));
      to.addAll(overlay.otherZoneLinks(nowMs));
      to.forEach(target -> send(this, target, false, reports));
    }

    void receive(FleetMember from, boolean subscribes, List<FleetReport> reports) {
      boolean first = !overlay.alive().contains(from);
      overlay.receivedFrom(from, subscribes, nowMs);
      List<FleetReport> newReports =
          reports.stream().filter(report -> overlay.accept(report, nowMs)).toList();
      newReports.forEach(report -> accepted.add(report.from().host() + " " + report.sequence()));
      if (!newReports.isEmpty() && overlay.forwards(nowMs)) {
        forward(newReports);
      }
      if (subscribes && (first || overlay.hasCloserLeader(from, nowMs)) && reachable(this, from)) {
        nodes.get(from.identity().host()).overlay.addMembers(overlay.alive(), nowMs);
      }
    }
  }

  private boolean reachable(Node from, FleetMember to) {
    boolean partitioned =
        partitionedZone != null
            && partitionedZone.equals(from.member.zone()) != partitionedZone.equals(to.zone());
    return !partitioned
        && !dead.contains(to.identity().host())
        && nodes.containsKey(to.identity().host());
  }

  private void send(Node from, FleetMember to, boolean subscribes, List<FleetReport> reports) {
    messages++;
    if (reachable(from, to)) {
      nodes.get(to.identity().host()).receive(from.member, subscribes, reports);
    }
  }

  /** Starts a fleet; all tries of a property share this object. */
  private void start(int daemons, Random random) {
    nodes.clear();
    dead.clear();
    partitionedZone = null;
    for (int i = 0; i < daemons; i++) {
      String host = "host-" + i;
      HostIdentity identity = new HostIdentity(host, 1);
      String zone = "zone-" + i % ZONES;
      long capacity = random.nextInt(3);
      nodes.put(
          host, new Node(new FleetMember(identity, new HostAddress(host, 1), zone, capacity)));
    }
  }

  private void run(int steps) {
    FleetMember seed = nodes.values().iterator().next().member;
    for (int step = 0; step < steps; step++) {
      nowMs += STEP_MS;
      int currentStep = step;
      nodes.values().stream()
          .filter(node -> !dead.contains(node.member.identity().host()))
          .forEach(node -> node.step(currentStep % HEARTBEAT_STEPS == 0, seed));
    }
  }

  /** Lets each living daemon report once, and checks which daemons accept it. */
  private void assertReportsReachAllReachableDaemons() {
    for (Node from : nodes.values()) {
      if (dead.contains(from.member.identity().host())) {
        continue;
      }
      messages = 0;
      nodes.values().forEach(node -> node.accepted.clear());
      from.report();
      for (Node to : nodes.values()) {
        int expected = to != from && reachable(from, to.member) ? 1 : 0;
        assertEquals(expected, to.accepted.size(), from.member + " to " + to.member);
      }
      assertTrue(messages <= 2 * nodes.size() + 2 * ZONES, messages + " messages");
    }
  }

  @Property(seed = "1131", tries = 60)
  void reportsReachAllSurvivors(
      @ForAll @IntRange(min = 3, max = 40) int daemons, @ForAll long seed) {
    Random random = new Random(seed);
    start(daemons, random);
    run(60);
    assertReportsReachAllReachableDaemons();
    // The first host is the only seed: it survives.
    for (int i = 1; i < daemons; i++) {
      if (random.nextInt(4) == 0) {
        dead.add("host-" + i);
      }
    }
    run(80);
    assertReportsReachAllReachableDaemons();
  }

  @Property(seed = "1132", tries = 40)
  void reportsReachAllWithinAPartitionAndEverywhereAfterIt(
      @ForAll @IntRange(min = 6, max = 40) int daemons, @ForAll long seed) {
    start(daemons, new Random(seed));
    run(60);
    partitionedZone = "zone-1";
    run(80);
    assertReportsReachAllReachableDaemons();
    partitionedZone = null;
    run(80);
    assertReportsReachAllReachableDaemons();
  }
}
