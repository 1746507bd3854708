// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.fawndrum.coordination.Action;
import org.fawndrum.coordination.EndpointRestrictions;
import org.fawndrum.coordination.engine.EngineUpdate;
import org.fawndrum.coordination.limit.EndpointRateLimits;
import org.fawndrum.coordination.membership.FleetMember;
import org.fawndrum.coordination.membership.FleetOverlay;
import org.fawndrum.coordination.membership.FleetReport;
import org.fawndrum.coordination.membership.HeartbeatSchedule;
import org.fawndrum.coordination.membership.SilentContacts;
import org.fawndrum.internal.duty.Duty;
import org.fawndrum.internal.duty.Ring;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;
import org.fawndrum.protocol.CrashCodec;
import org.fawndrum.protocol.FleetCodec;
import org.fawndrum.protocol.wire.FleetNews;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.transport.HostClock;
import org.fawndrum.transport.peer.PeerNetwork;

/**
 * The thread that exchanges messages with the other daemons. It reports changes of this host's work
 * and, with a heartbeat each second, all of its work, so that a lost report has no lasting effect.
 * It forwards reports of other daemons if {@link FleetOverlay} selects it for that. Its methods are
 * thread-safe and do not block.
 */
final class FleetDuty implements StorePeers {
  private static final int RING_SIZE = 8_192;

  /**
   * Number of live peers from which on a zone receives at once only the reports about its own
   * engines. With 76 daemons, receiving reports about all engines took more processor time than is
   * available; with 8 there is no problem.
   */
  private static final int MANY_DAEMONS = 24;

  /**
   * Interval at which silent daemons and zones are determined, in milliseconds: long compared with
   * the interval of incoming messages, short compared with the silence after which a zone counts as
   * silent.
   */
  private static final long VIEW_INTERVAL_MS = 100;

  /** Maximum number of silent daemons that are contacted with each heartbeat. */
  private static final int MAX_SILENT_CONTACTS = 3;

  private final HostIdentity self;
  private final FleetMember member;
  private final Supplier<RelaySettings> currentSettings;
  private final LongSupplier crashSummary;
  private final HostClock clock;
  private final FleetListener listener;
  private final HostLog log;
  private final Duty<FleetEvent> duty;
  private final MemberWatcher watcher;
  private final FleetOverlay overlay;
  private final Map<String, List<EngineUpdate>> ownUpdates = new LinkedHashMap<>();
  private final ShutdownNotices shutdownNotices = new ShutdownNotices();
  private final RateReports rateReports;
  private final FleetMessenger messenger;
  private final PermitExchange permits;
  private final PeerNetwork network;
  private final SilentContacts silentContacts = new SilentContacts(MAX_SILENT_CONTACTS);
  private final ReportForwarder forwarder;
  private volatile List<FleetMember> livePeers = List.of();
  private volatile HostAddress zoneLeader;
  private volatile List<HostAddress> silentPeers = List.of();
  private volatile Set<String> silentZones = Set.of();
  private volatile boolean allHostsReporting = true;
  private final HeartbeatSchedule heartbeats = new HeartbeatSchedule(new Random()::nextDouble);
  private long sequence;
  private long nextHeartbeatMs;
  private long nextViewUpdateMs;
  private long nextReadMs;

  FleetDuty(
      HostIdentity self,
      Supplier<RelaySettings> currentSettings,
      Supplier<StorePositions> storePositions,
      LongSupplier crashSummary,
      EndpointRestrictions restrictions,
      BiConsumer<EndpointRateLimits.Statement, String> rateLog,
      PeerNetwork network,
      HostClock clock,
      FleetListener listener,
      HostLog log) {
    this.self = self;
    this.currentSettings = currentSettings;
    this.crashSummary = crashSummary;
    this.network = network;
    this.clock = clock;
    this.listener = listener;
    this.log = log;
    RelaySettings settings = currentSettings.get();
    long capacity = Math.round(settings.linkMegabits());
    int proxyPort = settings.proxy().map(HostAddress::port).orElse(FleetMember.NO_PROXY);
    this.member =
        new FleetMember(self, settings.peers(), settings.zone(), capacity, true, proxyPort);
    this.watcher = new MemberWatcher(listener, network, log);
    this.overlay = new FleetOverlay(member, watcher, () -> currentSettings.get().otherSeeds());
    this.rateReports = new RateReports(restrictions.rateLimits());
    this.messenger =
        new FleetMessenger(
            member, storePositions, crashSummary, network, clock, shutdownNotices, rateReports);
    this.forwarder = new ReportForwarder(member, overlay, messenger, this::manyDaemons);
    this.permits =
        new PermitExchange(
            member,
            overlay.issuers(),
            restrictions,
            rateReports,
            rateLog,
            messenger,
            listener,
            log);
    this.duty = new Duty<>("fleet", new Ring<>(RING_SIZE), this::handle, this::tick, log);
  }

  void start() {
    duty.start();
  }

  /** Returns the number of permits that this daemon issued. */
  long issuedPermits() {
    return permits.issuedCount();
  }

  /** Queues an update for the other daemons; if the ring is full, the next heartbeat covers it. */
  void announce(Action.BroadcastWork update) {
    duty.offer(new FleetEvent.WorkChanged(update));
  }

  @Override
  public List<FleetMember> livePeers() {
    return livePeers;
  }

  @Override
  public List<HostAddress> silentPeers() {
    return silentPeers;
  }

  /** Returns the number of other daemons known from the last minute, including silent ones. */
  int knownPeerCount() {
    return livePeers.size() + silentPeers.size();
  }

  /**
   * Returns whether there are so many daemons that each zone receives only reports about its own
   * engines at once.
   */
  boolean manyDaemons() {
    return livePeers.size() >= MANY_DAEMONS;
  }

  /** Returns the availability zones whose daemons are all silent now. */
  Set<String> silentZones() {
    return silentZones;
  }

  /** Returns whether all known daemons sent a message recently. */
  boolean allHostsReporting() {
    return allHostsReporting;
  }

  @Override
  public HostAddress zoneLeader() {
    return zoneLeader;
  }

  /**
   * Returns whether this daemon reads the store for others: it leads its zone, and others are
   * known, or none are to be found.
   */
  boolean readsForOthers() {
    boolean alone = livePeers.isEmpty() && !currentSettings.get().otherSeeds().isEmpty();
    return zoneLeader == null && !alone;
  }

  void offer(FleetEvent event) {
    duty.offer(event);
  }

  private void handle(FleetEvent event) {
    if (event instanceof FleetEvent.WorkChanged changed) {
      Action.BroadcastWork update = changed.update();
      ownUpdates.computeIfAbsent(update.zone(), zone -> new ArrayList<>()).add(update.update());
    } else if (event instanceof FleetEvent.AllWork all) {
      // The pending updates go first: for completed work they say whether the endpoint seems to be
      // the cause, which the complete report does not.
      sendOwnReports(clock.nowMs());
      sendHeartbeat(all.work());
    } else if (event instanceof FleetEvent.MessageReceived message) {
      handleMessage(message);
      compareCrashes(message);
      permits.ratesReported(message.from(), message.rates(), clock.nowMs());
      if (!message.shuttingDown().isEmpty()) {
        listener.shutdownsReceived(message.from().identity(), message.shuttingDown());
      }
    } else if (event instanceof FleetEvent.MessagesRead) {
      overlay.listened(clock.nowMs());
    } else if (event instanceof FleetEvent.EndpointCrashes crashes) {
      sendCrashes(crashes);
    } else if (event instanceof FleetEvent.PermitsDemanded demanded) {
      permits.demandedHere(demanded.demands(), clock.nowMs());
    } else if (event instanceof FleetEvent.PermitsReceived received) {
      permits.received(received, clock.nowMs());
    } else if (event instanceof FleetEvent.RateChanged changed) {
      permits.rateChanged(changed.endpoint(), clock.nowMs());
    } else if (event instanceof FleetEvent.Stopping) {
      permits.stop();
      nextHeartbeatMs = clock.nowMs();
    } else if (event instanceof FleetEvent.EndpointsShuttingDown shutdowns) {
      long nowMs = clock.nowMs();
      shutdownNotices.add(shutdowns.endpoints(), nowMs);
      messenger.send(messenger.newMessage(), broadcastAddresses(nowMs));
    } else if (event instanceof FleetEvent.DrainedZonesChanged) {
      messenger.send(messenger.newMessage(), broadcastAddresses(clock.nowMs()));
    }
  }

  private void handleMessage(FleetEvent.MessageReceived message) {
    long nowMs = clock.nowMs();
    boolean first = overlay.receivedFrom(message.from(), message.subscribes(), nowMs);
    if (livePeers.isEmpty()) {
      // The first one that was found: others rely on knowing so at once.
      nextHeartbeatMs = nowMs;
    }
    overlay.addMembers(message.knownMembers(), nowMs);
    List<FleetReport> newReports = new ArrayList<>();
    for (FleetReport report : message.reports()) {
      if (overlay.accept(report, nowMs)) {
        newReports.add(report);
      }
    }
    if (!newReports.isEmpty()) {
      listener.reportsReceived(newReports);
    }
    if (overlay.forwards(nowMs)) {
      forwarder.add(newReports, nowMs);
    }
    if (message.subscribes() && overlay.tells(message.from(), first, nowMs)) {
      messenger.sendMembers(message.reply(), overlay::alive);
    }
  }

  /**
   * Processes the crashes in a message. A subscriber whose summary differs from this host's
   * receives all crashes known here.
   */
  private void compareCrashes(FleetEvent.MessageReceived message) {
    PeerCrashReport report = message.crashes();
    if (report.complete() || !report.crashes().isEmpty()) {
      listener.crashesReceived(report);
    } else if (message.subscribes() && report.summary() != crashSummary.getAsLong()) {
      listener.crashesRequested(report.daemon());
    }
  }

  /** Sends crashes at once, unlike reports of work: each one costs all requests on its engine. */
  private void sendCrashes(FleetEvent.EndpointCrashes crashes) {
    long nowMs = clock.nowMs();
    boolean complete = crashes.to().isPresent();
    messenger.send(
        messenger.newMessage().setCrashes(CrashCodec.write(crashes.crashes(), complete, nowMs)),
        complete ? Set.of(crashes.to().get()) : broadcastAddresses(nowMs));
  }

  /** Returns the addresses to which this daemon sends updates that must not wait. */
  private Set<HostAddress> broadcastAddresses(long nowMs) {
    Set<HostAddress> to = FleetMessenger.addresses(overlay.sameZoneLinks(nowMs));
    to.addAll(FleetMessenger.addresses(overlay.otherZoneLinks(nowMs)));
    return to;
  }

  private long tick() {
    long nowMs = clock.nowMs();
    watcher.logAppeared();
    sendOwnReports(nowMs);
    followLeader(nowMs);
    if (nowMs >= nextViewUpdateMs) {
      nextViewUpdateMs = nowMs + VIEW_INTERVAL_MS;
      allHostsReporting = overlay.allHostsReporting(nowMs);
      silentZones = allHostsReporting ? Set.of() : overlay.silentZones(nowMs);
    }
    boolean forwards = overlay.forwards(nowMs);
    if (forwards && nowMs >= forwarder.dueMs(nowMs)) {
      forwarder.forward(nowMs);
    }
    if (nowMs >= nextHeartbeatMs) {
      publishPeers(nowMs);
      nextHeartbeatMs = nowMs + heartbeats.nextMs(livePeers.isEmpty());
      listener.workRequested(work -> duty.offer(new FleetEvent.AllWork(work)));
    }
    if (rateReports.takeDue(nowMs)) {
      messenger.send(messenger.newMessage(), broadcastAddresses(nowMs));
    }
    listen(nowMs);
    long dueMs = Math.min(Math.min(nextHeartbeatMs, permits.tick(nowMs)), rateReports.dueMs());
    dueMs = Math.min(dueMs, nextReadMs);
    return Math.min(dueMs, forwards ? forwarder.dueMs(nowMs) : dueMs) - nowMs;
  }

  /** Finds out regularly whether this host handles what arrives. */
  private void listen(long nowMs) {
    if (nowMs >= nextReadMs) {
      nextReadMs = nowMs + FleetOverlay.LISTENED_INTERVAL_MS;
      network.afterReading(() -> duty.offer(new FleetEvent.MessagesRead()));
    }
  }

  /** Publishes the live peers to other threads. */
  private void publishPeers(long nowMs) {
    overlay.expire(nowMs);
    livePeers = overlay.alive();
    silentPeers = overlay.silentAddresses();
  }

  /** Reports changes of this host's work through the zone leader, unless this host forwards. */
  private void sendOwnReports(long nowMs) {
    if (ownUpdates.isEmpty()) {
      return;
    }
    List<FleetReport> reports = new ArrayList<>();
    ownUpdates.forEach(
        (zone, updates) ->
            reports.add(new FleetReport(self, Optional.empty(), ++sequence, zone, false, updates)));
    ownUpdates.clear();
    if (overlay.forwards(nowMs)) {
      forwarder.add(reports, nowMs);
    } else {
      messenger.send(
          messenger.newMessage(reports, nowMs),
          FleetMessenger.addresses(overlay.sameZoneLinks(nowMs)));
    }
  }

  /** Subscribes at once if the zone leader changed. */
  private void followLeader(long nowMs) {
    FleetMember leader = overlay.zoneLeader(nowMs);
    HostAddress leaderAddress = leader.identity().equals(self) ? null : leader.address();
    if (leaderAddress != null && !leaderAddress.equals(zoneLeader)) {
      log.event(LogEvent.ZONE_LEADER_CHANGED, leader.identity(), leader.zone());
      nextHeartbeatMs = nowMs;
    }
    zoneLeader = leaderAddress;
  }

  private void sendHeartbeat(List<EngineUpdate> work) {
    long nowMs = clock.nowMs();
    FleetReport report =
        new FleetReport(
            self, Optional.of(messenger.self()), ++sequence, FleetReport.ALL_ZONES, true, work);
    FleetNews.Builder builder =
        messenger.newMessage().setSubscribes(true).addReports(FleetCodec.write(report, nowMs));
    Set<HostAddress> to = FleetMessenger.addresses(overlay.otherZoneLinks(nowMs));
    if (zoneLeader != null) {
      to.add(zoneLeader);
    } else {
      to.addAll(contactAddresses());
    }
    messenger.send(messenger.withAllRates(builder), to);
    if (overlay.forwards(nowMs)) {
      forwarder.add(List.of(report), nowMs);
      forwarder.addAllRates();
    }
  }

  /** Returns addresses at which daemons may be that this host receives no messages from. */
  private Set<HostAddress> contactAddresses() {
    Set<HostAddress> addresses = FleetMessenger.addressSet();
    addresses.addAll(silentContacts.next(overlay.silentAddresses()));
    addresses.addAll(currentSettings.get().otherSeeds());
    return addresses;
  }
}
