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
 * What one host knows of the other daemons. Every daemon of a zone tells every other of the zone
 * that it lives; one daemon of a zone, the speaker, tells one of each other zone the zone's sums.
 * Nobody votes: who is suspected is each host's own view, and safety never depends on it. Confined
 * to one thread; reads no clock.
 */
public final class ZoneMembership {
  private final HostIdentity self;
  private final String zone;
  private final MembershipSettings settings;
  private final Map<String, Peer> peers = new HashMap<>();
  private final Map<String, EntryHost> listed = new TreeMap<>();
  private final List<HostAddress> seeds;
  private long nextInZoneMs = Long.MIN_VALUE;
  private long nextOtherZonesMs = Long.MIN_VALUE;
  private int turn;

  /** Another daemon. */
  private static final class Peer {
    PeerFacts facts;
    long heardMs;
    boolean suspected;
  }

  /** What changed with one heartbeat or one tick. */
  public enum Change {
    /** Nothing that others need to know. */
    NONE,
    /** A daemon is alive that was not before, or is a new incarnation. */
    ALIVE,
    /** A daemon is suspected. */
    SUSPECTED
  }

  /** A change and whom it concerns. */
  public record Changed(Change change, HostIdentity identity, long silentMs) {}

  /**
   * Makes the membership of a host that has just started.
   *
   * @param seeds addresses to try before the platform's list is known
   */
  public ZoneMembership(
      HostIdentity self, String zone, MembershipSettings settings, List<HostAddress> seeds) {
    this.self = self;
    this.zone = zone;
    this.settings = settings;
    this.seeds = List.copyOf(seeds);
  }

  /** Takes over the entry hosts that the platform lists. */
  public void listed(List<EntryHost> entryHosts) {
    listed.clear();
    for (EntryHost host : entryHosts) {
      if (!host.name().equals(self.host())) {
        listed.put(host.name(), host);
      }
    }
  }

  /**
   * Takes a heartbeat. One of an earlier incarnation, or older than the last one heard, is passed
   * over.
   */
  public Change heard(PeerFacts facts, long nowMs) {
    String host = facts.identity().host();
    if (host.equals(self.host())) {
      return Change.NONE;
    }
    Peer peer = peers.get(host);
    if (peer != null && isOld(facts, peer.facts)) {
      return Change.NONE;
    }
    boolean isNew =
        peer == null || peer.suspected || !peer.facts.identity().equals(facts.identity());
    Peer known = peers.computeIfAbsent(host, name -> new Peer());
    known.facts = facts;
    known.heardMs = nowMs;
    known.suspected = false;
    return isNew ? Change.ALIVE : Change.NONE;
  }

  private static boolean isOld(PeerFacts facts, PeerFacts known) {
    long incarnation = facts.identity().incarnation();
    long knownIncarnation = known.identity().incarnation();
    return incarnation < knownIncarnation
        || incarnation == knownIncarnation && facts.sequence() <= known.sequence();
  }

  /** Returns whom to suspect now. */
  public List<Changed> suspects(long nowMs) {
    List<Changed> changed = new ArrayList<>();
    long suspectMs = suspectAfterMs();
    for (Peer peer : peers.values()) {
      boolean inZone = peer.facts.zone().equals(zone);
      long silentMs = nowMs - peer.heardMs;
      long limitMs = inZone ? suspectMs : settings.otherZoneMs() * settings.suspectAfter();
      if (!peer.suspected && silentMs > limitMs) {
        peer.suspected = true;
        changed.add(new Changed(Change.SUSPECTED, peer.facts.identity(), silentMs));
      }
    }
    peers.values().removeIf(peer -> nowMs - peer.heardMs > settings.forgetMs());
    return changed;
  }

  /** Returns after how long a silent daemon of the zone is suspected, in milliseconds. */
  public long suspectAfterMs() {
    return settings.intervalMs(zoneSize()) * settings.suspectAfter();
  }

  private int zoneSize() {
    int known = 1;
    for (Peer peer : peers.values()) {
      known += peer.facts.zone().equals(zone) ? 1 : 0;
    }
    return known;
  }

  /** Returns whom to send a heartbeat now; empty most of the time. */
  public Set<HostAddress> dueNow(long nowMs) {
    Set<HostAddress> due = new HashSet<>();
    if (nowMs >= nextInZoneMs) {
      nextInZoneMs = nowMs + settings.intervalMs(zoneSize());
      due.addAll(zoneAddresses());
    }
    if (nowMs >= nextOtherZonesMs) {
      nextOtherZonesMs = nowMs + settings.otherZoneMs();
      if (speaker().equals(self)) {
        due.addAll(oneOfEachOtherZone());
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
    for (EntryHost host : listed.values()) {
      if (host.zone().equals(zone) && !peers.containsKey(host.name())) {
        addresses.add(host.peerAddress());
      }
    }
    if (listed.isEmpty()) {
      addresses.addAll(seeds);
    }
    return addresses;
  }

  private Set<HostAddress> oneOfEachOtherZone() {
    Map<String, List<HostAddress>> byZone = new TreeMap<>();
    for (EntryHost host : listed.values()) {
      if (!host.zone().equals(zone)) {
        byZone.computeIfAbsent(host.zone(), name -> new ArrayList<>()).add(host.peerAddress());
      }
    }
    for (Peer peer : peers.values()) {
      boolean other = !peer.facts.zone().equals(zone);
      if (other && !listed.containsKey(peer.facts.identity().host())) {
        byZone
            .computeIfAbsent(peer.facts.zone(), name -> new ArrayList<>())
            .add(peer.facts.address());
      }
    }
    turn++;
    Set<HostAddress> chosen = new HashSet<>();
    byZone.values().forEach(hosts -> chosen.add(hosts.get(Math.floorMod(turn, hosts.size()))));
    return chosen;
  }

  /** Returns the living daemon of the zone with the lowest name: it speaks to other zones. */
  public HostIdentity speaker() {
    return peers.values().stream()
        .filter(peer -> !peer.suspected && peer.facts.zone().equals(zone))
        .map(peer -> peer.facts.identity())
        .filter(identity -> identity.host().compareTo(self.host()) < 0)
        .min(Comparator.comparing(HostIdentity::host))
        .orElse(self);
  }

  /** Returns the living daemons of the zone, this host left out. */
  public List<PeerFacts> livingInZone() {
    return peers.values().stream()
        .filter(peer -> !peer.suspected && peer.facts.zone().equals(zone))
        .map(peer -> peer.facts)
        .toList();
  }

  /** Returns a living daemon that has a newer table or host list, preferring the own zone. */
  public Optional<PeerFacts> ahead(long tablePosition, long listingVersion) {
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

  /** Returns every other daemon known, by name. */
  public List<PeerView> peers() {
    return peers.values().stream()
        .map(peer -> new PeerView(peer.facts, peer.heardMs, !peer.suspected))
        .sorted(Comparator.comparing(view -> view.facts().identity().host()))
        .toList();
  }
}
