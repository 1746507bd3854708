// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fawndrum.state.HostIdentity;

/**
 * Selects the daemons with which this one exchanges messages: its zone leader, its subscribers and,
 * if it forwards reports, one daemon of each other zone. A selection is cached for a short time, or
 * until it is invalidated. Confined to the overlay's thread. Times are {@link ListeningTime
 * listening times}, in milliseconds.
 */
final class LinkSelector {
  /**
   * Silence after which a zone leader is replaced, in milliseconds: four of the intervals in which
   * it sends at least one message.
   */
  private static final long LEADER_TIMEOUT_MS = 1_200;

  /**
   * How long a silent zone leader is not chosen again, in milliseconds; longer than the time after
   * which it counts as gone.
   */
  static final long EXCLUSION_MS = 5_000;

  /**
   * How long a selection is valid while no daemon comes or goes, in milliseconds: a heartbeat. Only
   * a subscriber that did not renew its subscription is kept for so much longer. Each selection
   * goes through all daemons.
   */
  static final long CACHE_MS = 1_000;

  private static final Comparator<FleetMember> RANK =
      Comparator.comparingLong(FleetMember::capacity)
          .reversed()
          .thenComparing(member -> member.identity().host());

  private final FleetMember self;
  private final Map<String, DaemonState> daemons;
  private FleetMember leader;
  private long leaderSinceMs;
  private Links links;
  private long validUntilMs;

  /**
   * The daemons with which a daemon exchanges messages.
   *
   * @param leader the daemon that forwards its reports: itself if no better one answers
   * @param forwards whether it forwards the reports of others
   * @param sameZone the daemons of its zone that receive its messages
   * @param otherZones the daemons of other zones that receive its messages; empty if it does not
   *     forward
   */
  record Links(
      FleetMember leader,
      boolean forwards,
      List<FleetMember> sameZone,
      List<FleetMember> otherZones) {}

  /**
   * Creates the selector of a daemon.
   *
   * @param daemons the other daemons by host, as maintained by the overlay
   */
  LinkSelector(FleetMember self, Map<String, DaemonState> daemons) {
    this.self = self;
    this.daemons = daemons;
    this.leader = self;
  }

  /** Returns the current links. */
  Links linksAt(long nowMs) {
    if (links == null || nowMs >= validUntilMs) {
      links = choose(nowMs);
      validUntilMs = expiryMs(nowMs);
    }
    return links;
  }

  /** Invalidates the selection, because a daemon came, went or subscribed. */
  void invalidate() {
    links = null;
  }

  /** Returns the best other daemon of a zone; null if none is alive and answers. */
  FleetMember best(String zone, long nowMs) {
    return daemons.values().stream()
        .filter(daemon -> daemon.isAlive() && daemon.member().zone().equals(zone))
        .filter(daemon -> !daemon.isExcluded(nowMs))
        .map(DaemonState::member)
        .min(RANK)
        .orElse(null);
  }

  /** Returns when the selection expires if no daemon comes or goes. */
  private long expiryMs(long nowMs) {
    long endMs = nowMs + CACHE_MS;
    DaemonState leaderState = daemons.get(leader.identity().host());
    if (leaderState != null) {
      endMs = Math.min(endMs, leaderLastSeenMs(leaderState) + LEADER_TIMEOUT_MS + 1);
    }
    for (DaemonState daemon : daemons.values()) {
      if (daemon.isExcluded(nowMs)) {
        endMs = Math.min(endMs, daemon.excludedUntilMs());
      }
    }
    return endMs;
  }

  private Links choose(long nowMs) {
    FleetMember newLeader = chooseLeader(nowMs);
    boolean isLeader = newLeader.identity().host().equals(self.identity().host());
    List<FleetMember> sameZone = subscribers(true, nowMs);
    boolean forwards = isLeader || !sameZone.isEmpty();
    if (!isLeader && !sameZone.contains(newLeader)) {
      sameZone.add(newLeader);
    }
    return new Links(
        newLeader, forwards, List.copyOf(sameZone), forwards ? otherZoneLinks(nowMs) : List.of());
  }

  private FleetMember chooseLeader(long nowMs) {
    DaemonState leaderState = daemons.get(leader.identity().host());
    boolean timedOut =
        leaderState != null
            && leaderState.isAlive()
            && nowMs - leaderLastSeenMs(leaderState) > LEADER_TIMEOUT_MS;
    if (timedOut) {
      leaderState.excludeUntil(nowMs + EXCLUSION_MS);
    }
    FleetMember best = best(self.zone(), nowMs);
    FleetMember candidate = best == null || RANK.compare(self, best) <= 0 ? self : best;
    if (!candidate.identity().equals(leader.identity())) {
      leader = candidate;
      leaderSinceMs = nowMs;
    }
    return leader;
  }

  /** Returns the start of the leader's silence; a leader just chosen gets time to begin. */
  private long leaderLastSeenMs(DaemonState leaderState) {
    return Math.max(leaderSinceMs, leaderState.lastMessageMs());
  }

  private List<FleetMember> otherZoneLinks(long nowMs) {
    Map<HostIdentity, FleetMember> members = new LinkedHashMap<>();
    subscribers(false, nowMs).forEach(member -> members.put(member.identity(), member));
    for (String zone : otherZones()) {
      FleetMember best = best(zone, nowMs);
      if (best != null) {
        members.put(best.identity(), best);
      }
    }
    return List.copyOf(members.values());
  }

  private List<FleetMember> subscribers(boolean sameZone, long nowMs) {
    List<FleetMember> members = new ArrayList<>();
    for (DaemonState daemon : daemons.values()) {
      if (daemon.isSubscriber(nowMs) && isSameZone(daemon) == sameZone) {
        members.add(daemon.member());
      }
    }
    return members;
  }

  private Set<String> otherZones() {
    Set<String> zones = new HashSet<>();
    for (DaemonState daemon : daemons.values()) {
      if (daemon.isAlive() && !isSameZone(daemon)) {
        zones.add(daemon.member().zone());
      }
    }
    return zones;
  }

  private boolean isSameZone(DaemonState daemon) {
    return daemon.member().zone().equals(self.zone());
  }
}
