// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.fawndrum.state.EntryHost;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;

/**
 * The other daemons as one host sees them. Every daemon of a zone sends heartbeats to all others of
 * the zone; one daemon of a zone, the zone leader, sends them to one daemon of each other zone.
 * There is no agreement: each host suspects daemons by its own view, and safety does not depend on
 * it. Confined to one thread; reads no clock.
 */
public final class ZoneMembership {
  private final HostIdentity self;
  private final String zone;
  private final MembershipSettings settings;
  private final Map<String, Peer> peers = new HashMap<>();
  private final Map<String, EntryHost> entryHosts = new TreeMap<>();
  private final List<HostAddress> seeds;
  private long nextInZoneMs = Long.MIN_VALUE;
  private long nextOtherZonesMs = Long.MIN_VALUE;
  private int rotation;

  /** Another daemon. */
  private static final class Peer {
    PeerFacts facts;
    long lastHeartbeatMs;
    boolean suspected;
  }

  /** The effect of one heartbeat or one tick. */
  public enum Change {
    /** Nothing that others need to know. */
    NONE,
    /** A daemon is alive that was not alive before, or is a new incarnation. */
    ALIVE,
    /** A daemon is suspected. */
    SUSPECTED
  }

  /** A change and the daemon that it is about. */
  public record Changed(Change change, HostIdentity identity, long silentMs) {}

  /**
   * Creates the membership of a host that has just started.
   *
   * @param seeds addresses to contact before the platform's list is known
   */
  public ZoneMembership(
      HostIdentity self, String zone, MembershipSettings settings, List<HostAddress> seeds) {
    this.self = self;
    this.zone = zone;
    this.settings = settings;
    this.seeds = List.copyOf(seeds);
  }

  /** Replaces the entry hosts that the platform lists. */
  public void setEntryHosts(List<EntryHost> listed) {
    entryHosts.clear();
    for (EntryHost host : listed) {
      if (!host.name().equals(self.host())) {
        entryHosts.put(host.name(), host);
      }
    }
  }

  /**
   * Records a heartbeat. Drops it if it is of an earlier incarnation, or not newer than the last
   * one received.
   */
  public Change receive(PeerFacts facts, long nowMs) {
    String host = facts.identity().host();
    if (host.equals(self.host())) {
      return Change.NONE;
    }
    Peer peer = peers.get(host);
    if (peer != null && isOutdated(facts, peer.facts)) {
      return Change.NONE;
    }
    boolean isNew =
        peer == null || peer.suspected || !peer.facts.identity().equals(facts.identity());
    Peer current = peers.computeIfAbsent(host, name -> new Peer());
    current.facts = facts;
    current.lastHeartbeatMs = nowMs;
    current.suspected = false;
    return isNew ? Change.ALIVE : Change.NONE;
  }

  private static boolean isOutdated(PeerFacts facts, PeerFacts current) {
    long incarnation = facts.identity().incarnation();
    long currentIncarnation = current.identity().incarnation();
    return incarnation < currentIncarnation
        || incarnation == currentIncarnation && facts.sequence() <= current.sequence();
  }

  /**
   * Marks silent daemons as suspected and removes those that were silent for too long; returns the
   * newly suspected ones.
   */
  public List<Changed> updateSuspects(long nowMs) {
    List<Changed> changed = new ArrayList<>();
    long suspectMs = suspectAfterMs();
    for (Peer peer : peers.values()) {
      boolean inZone = peer.facts.zone().equals(zone);
      long silentMs = nowMs - peer.lastHeartbeatMs;
      long limitMs = inZone ? suspectMs : settings.otherZoneMs() * settings.suspectAfterIntervals();
      if (!peer.suspected && silentMs > limitMs) {
        peer.suspected = true;
        changed.add(new Changed(Change.SUSPECTED, peer.facts.identity(), silentMs));
      }
    }
    peers.values().removeIf(peer -> nowMs - peer.lastHeartbeatMs > settings.forgetMs());
    return changed;
  }

  /** Returns the silence after which a daemon of the zone is suspected, in milliseconds. */
  public long suspectAfterMs() {
    return settings.intervalMs(zoneSize()) * settings.suspectAfterIntervals();
  }

  private int zoneSize() {
    int size = 1;
    for (Peer peer : peers.values()) {
      size += peer.facts.zone().equals(zone) ? 1 : 0;
    }
    return size;
  }

  /** Returns the addresses to which a heartbeat is due now; empty most of the time. */
  public Set<HostAddress> dueHeartbeats(long nowMs) {
    Set<HostAddress> due = new HashSet<>();
    if (nowMs >= nextInZoneMs) {
      nextInZoneMs = nowMs + settings.intervalMs(zoneSize());
      due.addAll(zoneAddresses());
    }
    if (nowMs >= nextOtherZonesMs) {
      nextOtherZonesMs = nowMs + settings.otherZoneMs();
      if (zoneLeader().equals(self)) {
        due.addAll(otherZoneAddresses());
      }
    }
    return due;
  }

  private Set<HostAddress> zoneAddresses() {
    Set<HostAddress> addresses = new HashSet<>();
    for (Peer peer : peers.values()) {
      if (peer.facts.zone().equals(zone)) {
        addresses.add(peer.facts.address());
      }
    }
    for (EntryHost host : entryHosts.values()) {
      if (host.zone().equals(zone) && !peers.containsKey(host.name())) {
        addresses.add(host.peerAddress());
      }
    }
    if (entryHosts.isEmpty()) {
      addresses.addAll(seeds);
    }
    return addresses;
  }

  private Set<HostAddress> otherZoneAddresses() {
    Map<String, List<HostAddress>> byZone = new TreeMap<>();
    for (EntryHost host : entryHosts.values()) {
      if (!host.zone().equals(zone)) {
        byZone.computeIfAbsent(host.zone(), name -> new ArrayList<>()).add(host.peerAddress());
      }
    }
    for (Peer peer : peers.values()) {
      boolean otherZone = !peer.facts.zone().equals(zone);
      if (otherZone && !entryHosts.containsKey(peer.facts.identity().host())) {
        byZone
            .computeIfAbsent(peer.facts.zone(), name -> new ArrayList<>())
            .add(peer.facts.address());
      }
    }
    rotation++;
    Set<HostAddress> chosen = new HashSet<>();
    byZone.values().forEach(hosts -> chosen.add(hosts.get(Math.floorMod(rotation, hosts.size()))));
    return chosen;
  }

  /**
   * Returns the living daemon of the zone with the lowest name, which sends heartbeats to other
   * zones.
   */
  public HostIdentity zoneLeader() {
    return peers.values().stream()
        .filter(peer -> !peer.suspected && peer.facts.zone().equals(zone))
        .map(peer -> peer.facts.identity())
        .filter(identity -> identity.host().compareTo(self.host()) < 0)
        .min(Comparator.comparing(HostIdentity::host))
        .orElse(self);
  }

  /** Returns the living daemons of the zone except this host. */
  public List<PeerFacts> livingInZone() {
    return peers.values().stream()
        .filter(peer -> !peer.suspected && peer.facts.zone().equals(zone))
        .map(peer -> peer.facts)
        .toList();
  }

  /**
   * Returns a living daemon with a newer table or host list, preferably of the own zone; empty if
   * there is none.
   */
  public Optional<PeerFacts> newerPeer(long tablePosition, long listingVersion) {
    return peers.values().stream()
        .filter(peer -> !peer.suspected)
        .map(peer -> peer.facts)
        .filter(
            facts ->
                facts.tablePosition() > tablePosition || facts.listingVersion() > listingVersion)
        .max(
            Comparator.<PeerFacts, Boolean>comparing(facts -> facts.zone().equals(zone))
                .thenComparingLong(PeerFacts::tablePosition)
                .thenComparingLong(PeerFacts::listingVersion));
  }

  /** Returns all other known daemons, sorted by name. */
  public List<PeerView> peers() {
    return peers.values().stream()
        .map(peer -> new PeerView(peer.facts, peer.lastHeartbeatMs, !peer.suspected))
        .sorted(Comparator.comparing(view -> view.facts().identity().host()))
        .toList();
  }
}
