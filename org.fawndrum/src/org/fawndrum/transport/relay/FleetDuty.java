// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
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
 * with a heartbeat once a second, about all of it, so that a message that got lost does no lasting
 * harm. Its methods are safe for all threads and never block.
 */
final class FleetDuty {
  private static final int RING = 8_192;

  /** The interval of heartbeats, in milliseconds. */
  private static final long HEARTBEAT_MS = 1_000;

  private final HostIdentity self;
  private final Supplier<RelaySettings> current;
  private final RelaySettings settings;
  private final PeerNetwork network;
  private final HostClock clock;
  private final Consumer<RelayEvent> decisions;
  private final HostLog log;
  private final Duty<FleetEvent> duty;
  private final KnownDaemons daemons;
  private final List<EngineNews> pending = new ArrayList<>();
  private long nextHeartbeatMs;

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
    this.daemons = new KnownDaemons(settings.peers());
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
    return daemons.alive();
  }

  void offer(FleetEvent event) {
    duty.offer(event);
  }

  private void handle(FleetEvent event) {
    if (event instanceof FleetEvent.Changed changed) {
      pending.add(changed.news());
    } else if (event instanceof FleetEvent.All all) {
      pending.clear();
      heartbeat(all.work());
    } else if (event instanceof FleetEvent.Heard heard) {
      heard(heard);
    }
  }

  private void heard(FleetEvent.Heard heard) {
    long nowMs = clock.nowMs();
    if (heard.from().host().equals(self.host())) {
      return;
    }
    HostIdentity before = daemons.heard(heard.from(), heard.address(), nowMs);
    boolean other = before != null && !before.equals(heard.from());
    if (other) {
      decisions.accept(new RelayEvent.DaemonGone(before));
    }
    if (before == null || other) {
      log.event(LogEvent.PEER_ALIVE, heard.from());
      nextHeartbeatMs = nowMs;
    }
    if (before == null) {
      daemons.showAlive();
    }
    daemons.learn(heard.known(), nowMs);
  }

  private long tick() {
    long nowMs = clock.nowMs();
    if (!pending.isEmpty()) {
      tell(pending, false, daemons.addresses(), nowMs);
      pending.clear();
    }
    if (nowMs >= nextHeartbeatMs) {
      nextHeartbeatMs = nowMs + HEARTBEAT_MS;
      daemons.forget(nowMs, this::gone);
      daemons.showAlive();
      decisions.accept(new RelayEvent.WorkWanted(work -> duty.offer(new FleetEvent.All(work))));
    }
    return nextHeartbeatMs - nowMs;
  }

  private void heartbeat(List<EngineNews> work) {
    Set<HostAddress> to = new HashSet<>(daemons.addresses());
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
      for (HostAddress at : daemons.aliveNow()) {
        told.addKnown(PeerPlace.newBuilder().setIp(at.ip()).setPort(at.port()));
      }
    }
    FleetCodec.write(told, news, nowMs);
    PeerMessage message = PeerCodec.from(self).setFleetNews(told).build();
    to.forEach(address -> network.tell(address, message));
  }

  private void gone(HostAddress address, HostIdentity daemon, long silentMs) {
    log.event(LogEvent.PEER_SUSPECTED, daemon, Long.toString(silentMs));
    decisions.accept(new RelayEvent.DaemonGone(daemon));
    network.drop(address);
  }
}
