// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.fawndrum.coordination.engine.EngineNews;
import org.fawndrum.internal.duty.Duty;
import org.fawndrum.internal.duty.Ring;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;
import org.fawndrum.protocol.FleetCodec;
import org.fawndrum.protocol.PeerCodec;
import org.fawndrum.protocol.wire.FleetNews;
import org.fawndrum.protocol.wire.PeerMessage;
import org.fawndrum.protocol.wire.PeerPlace;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.transport.HostClock;
import org.fawndrum.transport.peer.PeerNetwork;

/**
 * The thread that knows the other daemons: it tells them about this host's work as it changes and,
 * once a second, about all of it, so that a message that got lost does no lasting harm.
 */
final class FleetDuty {
  private static final int RING = 8_192;

  /** The interval of heartbeats, in milliseconds. */
  private static final long BEAT_MS = 1_000;

  /** A daemon that was silent for so long counts as gone, in milliseconds. */
  private static final long GONE_MS = 3_500;

  /** How long the address of a silent daemon is tried, in milliseconds. */
  private static final long FORGET_MS = 60_000;

  private final HostIdentity self;
  private final Supplier<RelaySettings> current;
  private final RelaySettings settings;
  private final PeerNetwork network;
  private final HostClock clock;
  private final Consumer<RelayEvent> decisions;
  private final HostLog log;
  private final Duty<FleetEvent> duty;
  private final Map<HostAddress, Peer> peers = new HashMap<>();
  private final List<EngineNews> pending = new ArrayList<>();
  private long nextBeatMs;
  private volatile List<HostAddress> alive = List.of();

  /** Another daemon, or an address where one may be. */
  private static final class Peer {
    HostIdentity identity;
    long heardMs;

    Peer(long knownMs) {
      heardMs = knownMs;
    }
  }

  /** An event of this thread. */
  sealed interface FleetEvent {
    /** This host's work changed. */
    record Changed(EngineNews news) implements FleetEvent {}

    /** All of this host's work, for a heartbeat. */
    record All(List<EngineNews> work) implements FleetEvent {}

    /** Another daemon was heard; it knows others. */
    record Heard(HostIdentity from, HostAddress address, List<HostAddress> known)
        implements FleetEvent {}
  }

  FleetDuty(
      HostIdentity self,
      Supplier<RelaySettings> current,
      PeerNetwork network,
      HostClock clock,
      Consumer<RelayEvent> decisions,
      HostLog log) {
    this.self = self;
    this.current = current;
    this.settings = current.get();
    this.network = network;
    this.clock = clock;
    this.decisions = decisions;
    this.log = log;
    this.duty = new Duty<>("fleet", new Ring<>(RING), this::handle, this::tick, log);
  }

  void start() {
    duty.start();
  }

  /** Takes news for the others; what finds no room is told with the next heartbeat. */
  void announce(EngineNews news) {
    duty.offer(new FleetEvent.Changed(news));
  }

  /** Returns where the other daemons are that are alive, as last seen. */
  List<HostAddress> alive() {
    return alive;
  }

  void offer(FleetEvent event) {
    duty.offer(event);
  }

  private void handle(FleetEvent event) {
    if (event instanceof FleetEvent.Changed changed) {
      pending.add(changed.news());
    } else if (event instanceof FleetEvent.All all) {
      pending.clear();
      beat(all.work());
    } else if (event instanceof FleetEvent.Heard heard) {
      heard(heard);
    }
  }

  private void heard(FleetEvent.Heard heard) {
    long nowMs = clock.nowMs();
    if (heard.from().host().equals(self.host())) {
      return;
    }
    Peer peer = peers.computeIfAbsent(heard.address(), address -> new Peer(nowMs));
    boolean other = peer.identity != null && !peer.identity.equals(heard.from());
    if (other) {
      decisions.accept(new RelayEvent.DaemonGone(peer.identity));
    }
    if (peer.identity == null || other) {
      log.event(LogEvent.PEER_ALIVE, heard.from());
      nextBeatMs = nowMs;
    }
    boolean isNew = peer.identity == null;
    peer.identity = heard.from();
    if (isNew) {
      seeAlive();
    }
    peer.heardMs = nowMs;
    for (HostAddress address : heard.known()) {
      if (!address.equals(settings.peers())) {
        peers.computeIfAbsent(address, key -> new Peer(nowMs));
      }
    }
  }

  private void seeAlive() {
    alive =
        peers.entrySet().stream()
            .filter(peer -> peer.getValue().identity != null)
            .map(Map.Entry::getKey)
            .toList();
  }

  private long tick() {
    long nowMs = clock.nowMs();
    if (!pending.isEmpty()) {
      tell(pending, false, peers.keySet(), nowMs);
      pending.clear();
    }
    if (nowMs >= nextBeatMs) {
      nextBeatMs = nowMs + BEAT_MS;
      forget(nowMs);
      seeAlive();
      decisions.accept(new RelayEvent.WorkWanted(work -> duty.offer(new FleetEvent.All(work))));
    }
    return nextBeatMs - nowMs;
  }

  private void beat(List<EngineNews> work) {
    Set<HostAddress> to = new HashSet<>(peers.keySet());
    for (HostAddress seed : current.get().seeds()) {
      if (!seed.equals(settings.peers())) {
        to.add(seed);
      }
    }
    tell(work, true, to, clock.nowMs());
  }

  private void tell(
      Collection<EngineNews> news, boolean whole, Collection<HostAddress> to, long nowMs) {
    FleetNews.Builder told =
        FleetNews.newBuilder()
            .setZone(settings.zone())
            .setPeerIp(settings.peers().ip())
            .setPeerPort(settings.peers().port())
            .setWhole(whole);
    if (whole) {
      for (Map.Entry<HostAddress, Peer> peer : peers.entrySet()) {
        if (peer.getValue().identity != null) {
          HostAddress at = peer.getKey();
          told.addKnown(PeerPlace.newBuilder().setIp(at.ip()).setPort(at.port()));
        }
      }
    }
    FleetCodec.write(told, news, nowMs);
    PeerMessage message = PeerCodec.from(self).setFleetNews(told).build();
    to.forEach(address -> network.tell(address, message));
  }

  private void forget(long nowMs) {
    Iterator<Map.Entry<HostAddress, Peer>> all = peers.entrySet().iterator();
    while (all.hasNext()) {
      Map.Entry<HostAddress, Peer> entry = all.next();
      Peer peer = entry.getValue();
      long silentMs = nowMs - peer.heardMs;
      if (peer.identity != null && silentMs > GONE_MS) {
        log.event(LogEvent.PEER_SUSPECTED, peer.identity, Long.toString(silentMs));
        decisions.accept(new RelayEvent.DaemonGone(peer.identity));
        peer.identity = null;
        network.drop(entry.getKey());
      }
      if (silentMs > FORGET_MS) {
        all.remove();
      }
    }
  }
}
