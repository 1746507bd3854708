// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.fawndrum.coordination.Action;
import org.fawndrum.coordination.engine.EngineNews;
import org.fawndrum.coordination.membership.FleetMember;
import org.fawndrum.coordination.membership.FleetOverlay;
import org.fawndrum.coordination.membership.FleetReport;
import org.fawndrum.internal.duty.Duty;
import org.fawndrum.internal.duty.Ring;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;
import org.fawndrum.protocol.CrashCodec;
import org.fawndrum.protocol.FleetCodec;
import org.fawndrum.protocol.PeerCodec;
import org.fawndrum.protocol.wire.FleetNews;
import org.fawndrum.protocol.wire.PeerMessage;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.transport.HostClock;
import org.fawndrum.transport.peer.PeerNetwork;

/**
 * The thread that knows the other daemons. It reports this host's work as it changes and, with a
 * heartbeat once a second, all of it, so that a report that got lost does no lasting harm; and it
 * passes reports of others on when {@link FleetOverlay} says so. Its methods are safe for all
 * threads and never block.
 */
final class FleetDuty {
  private static final int RING = 8_192;

  /** The interval of heartbeats, in milliseconds. */
  private static final long HEARTBEAT_MS = 1_000;

  /** The interval of heartbeats while no other daemon is known, in milliseconds. */
  private static final long SEARCH_MS = 250;

  /**
   * From so many other living daemons on, a zone hears at once only of its own engines. With 76
   * daemons, hearing of all engines took more processor time than there is; with 8 it does no harm.
   */
  private static final int MANY_DAEMONS = 24;

  /**
   * How often it is looked which daemons and zones are silent, in milliseconds: seldom beside the
   * messages that come, often beside the time after which a zone is silent.
   */
  private static final long VIEW_MS = 100;

  /** The most addresses of silent daemons that are tried with one heartbeat. */
  private static final int SILENT_TRIED = 3;

  private final HostIdentity self;
  private final FleetMember member;
  private final Supplier<RelaySettings> current;
  private final Supplier<StoreView> store;
  private final LongSupplier crashSummary;
  private final PeerNetwork network;
  private final HostClock clock;
  private final FleetListener listener;
  private final HostLog log;
  private final Duty<FleetEvent> duty;
  private final FleetOverlay overlay;
  private final Map<String, List<EngineNews>> ownNews = new LinkedHashMap<>();
  private final LeavingNotices leavingNotices = new LeavingNotices();
  private final ReportBuffer gathered = new ReportBuffer();
  private volatile List<HostAddress> alive = List.of();
  private volatile HostAddress speaker;
  private volatile int others;
  private volatile boolean manyDaemons;
  private volatile Set<String> silentZones = Set.of();
  private volatile boolean hearsAll = true;
  private long sequence;
  private long nextHeartbeatMs;
  private long nextViewMs;

  FleetDuty(
      HostIdentity self,
      Supplier<RelaySettings> current,
      Supplier<StoreView> store,
      LongSupplier crashSummary,
      PeerNetwork network,
      HostClock clock,
      FleetListener listener,
      HostLog log) {
    this.self = self;
    this.current = current;
    this.store = store;
    this.crashSummary = crashSummary;
    this.network = network;
    this.clock = clock;
    this.listener = listener;
    this.log = log;
    RelaySettings settings = current.get();
    long capacity = Math.round(settings.linkMegabits());
    this.member = new FleetMember(self, settings.peers(), settings.zone(), capacity);
    this.overlay = new FleetOverlay(member, new MemberLog());
    this.duty = new Duty<>("fleet", new Ring<>(RING), this::handle, this::tick, log);
  }

  void start() {
    duty.start();
  }

  /** Takes news for the others; what finds no room is told with the next heartbeat. */
  void announce(Action.Announce news) {
    duty.offer(new FleetEvent.Changed(news));
  }

  /** Returns where the other daemons are that are alive, as last seen. */
  List<HostAddress> alive() {
    return alive;
  }

  /** Returns how many other daemons were heard in the last minute, silent ones included. */
  int others() {
    return others;
  }

  /** Tells whether the daemons are so many that each zone hears at once only of its own engines. */
  boolean manyDaemons() {
    return manyDaemons;
  }

  /** Returns the availability zones from which no daemon is heard now. */
  Set<String> silentZones() {
    return silentZones;
  }

  /** Tells whether all daemons that are known were heard lately. */
  boolean hearsAll() {
    return hearsAll;
  }

  /** Returns where the daemon is that speaks for this host's zone; null when it is this host. */
  HostAddress speaker() {
    return speaker;
  }

  void offer(FleetEvent event) {
    duty.offer(event);
  }

  private void handle(FleetEvent event) {
    if (event instanceof FleetEvent.Changed changed) {
      Action.Announce one = changed.news();
      ownNews.computeIfAbsent(one.zone(), zone -> new ArrayList<>()).add(one.news());
    } else if (event instanceof FleetEvent.All all) {
      // What ended says more than the whole: whether the endpoint seems to be the cause.
      reportOwn(clock.nowMs());
      heartbeat(all.work());
    } else if (event instanceof FleetEvent.Heard heard) {
      heard(heard);
      compareCrashes(heard);
      if (!heard.leaving().isEmpty()) {
        listener.leavingTold(heard.from().identity(), heard.leaving());
      }
    } else if (event instanceof FleetEvent.Crashes crashes) {
      tell(crashes);
    } else if (event instanceof FleetEvent.Leaving leaving) {
      long nowMs = clock.nowMs();
      leavingNotices.learned(leaving.endpoints(), nowMs);
      send(news(), everyone(nowMs));
    }
  }

  private void heard(FleetEvent.Heard heard) {
    long nowMs = clock.nowMs();
    boolean first = !overlay.isAlive(heard.from());
    overlay.heardDirectly(heard.from(), heard.subscribes(), nowMs);
    overlay.learn(heard.known(), nowMs);
    List<FleetReport> fresh = new ArrayList<>();
    for (FleetReport report : heard.reports()) {
      if (overlay.take(report, nowMs)) {
        fresh.add(report);
      }
    }
    if (!fresh.isEmpty()) {
      listener.reported(fresh);
    }
    if (overlay.passesOn(nowMs)) {
      gathered.gather(fresh, nowMs);
    }
    if (heard.subscribes() && (first || overlay.knowsBetter(heard.from(), nowMs))) {
      tellKnown(heard.from());
    }
  }

  /** Takes what was told of crashes; whoever reports here and knows something else is told all. */
  private void compareCrashes(FleetEvent.Heard heard) {
    CrashesFrom told = heard.crashes();
    if (told.whole() || !told.news().isEmpty()) {
      listener.crashesTold(told);
    } else if (heard.subscribes() && told.summary() != crashSummary.getAsLong()) {
      listener.crashesWanted(told.daemon());
    }
  }

  /**
   * Passes news on at once, unlike reports of work: each engine that ends costs all its requests.
   */
  private void tell(FleetEvent.Crashes crashes) {
    long nowMs = clock.nowMs();
    boolean whole = crashes.to().isPresent();
    send(
        news().setCrashes(CrashCodec.write(crashes.news(), whole, nowMs)),
        whole ? Set.of(crashes.to().get()) : everyone(nowMs));
  }

  /** Returns where the daemons are that this one tells things at once. */
  private Set<HostAddress> everyone(long nowMs) {
    Set<HostAddress> to = addresses(overlay.near(nowMs));
    to.addAll(addresses(overlay.far(nowMs)));
    return to;
  }

  private void tellKnown(FleetMember to) {
    FleetNews.Builder news = news();
    overlay.alive().forEach(one -> news.addKnown(FleetCodec.write(one)));
    send(news, List.of(to.address()));
  }

  private long tick() {
    long nowMs = clock.nowMs();
    reportOwn(nowMs);
    follow(nowMs);
    if (nowMs >= nextViewMs) {
      nextViewMs = nowMs + VIEW_MS;
      silentZones = overlay.silentZones(nowMs);
      hearsAll = overlay.hearsAll(nowMs);
    }
    boolean passesOn = overlay.passesOn(nowMs);
    if (passesOn && nowMs >= passOnMs(nowMs)) {
      passOn(nowMs);
    }
    if (nowMs >= nextHeartbeatMs) {
      showOthers(nowMs);
      nextHeartbeatMs = nowMs + (alive.isEmpty() ? SEARCH_MS : HEARTBEAT_MS);
      listener.workWanted(work -> duty.offer(new FleetEvent.All(work)));
    }
    long dueMs = passesOn ? passOnMs(nowMs) : nextHeartbeatMs;
    return Math.min(nextHeartbeatMs, dueMs) - nowMs;
  }

  private long passOnMs(long nowMs) {
    return gathered.dueMs(overlay.near(nowMs).size());
  }

  /** Lets other threads see who is alive. */
  private void showOthers(long nowMs) {
    overlay.forget(nowMs);
    alive = overlay.alive().stream().map(FleetMember::address).toList();
    others = alive.size() + overlay.silent().size();
    manyDaemons = alive.size() >= MANY_DAEMONS;
  }

  /** Reports what changed: through the speaker, or with what this host passes on. */
  private void reportOwn(long nowMs) {
    if (ownNews.isEmpty()) {
      return;
    }
    List<FleetReport> reports = new ArrayList<>();
    ownNews.forEach(
        (zone, news) ->
            reports.add(new FleetReport(self, Optional.empty(), ++sequence, zone, false, news)));
    ownNews.clear();
    if (overlay.passesOn(nowMs)) {
      gathered.gather(reports, nowMs);
    } else {
      send(news(reports, nowMs), addresses(overlay.near(nowMs)));
    }
  }

  /** Subscribes at once where the speaker is another one than before. */
  private void follow(long nowMs) {
    FleetMember now = overlay.speaker(nowMs);
    HostAddress at = now.identity().equals(self) ? null : now.address();
    if (at != null && !at.equals(speaker)) {
      log.event(LogEvent.SPEAKER_CHOSEN, now.identity(), now.zone());
      nextHeartbeatMs = nowMs;
    }
    speaker = at;
  }

  private void heartbeat(List<EngineNews> work) {
    long nowMs = clock.nowMs();
    FleetReport all =
        new FleetReport(self, Optional.of(member), ++sequence, FleetReport.EVERYWHERE, true, work);
    FleetNews.Builder news = news().setSubscribes(true).addReports(FleetCodec.write(all, nowMs));
    Set<HostAddress> to = addresses(overlay.far(nowMs));
    if (speaker != null) {
      to.add(speaker);
    } else {
      to.addAll(contacts());
    }
    send(news, to);
    if (overlay.passesOn(nowMs)) {
      gathered.gather(List.of(all), nowMs);
    }
  }

  /** Returns where daemons may be that this one does not hear. */
  private Set<HostAddress> contacts() {
    Set<HostAddress> addresses = addressSet();
    overlay.silent().stream().limit(SILENT_TRIED).forEach(addresses::add);
    addresses.addAll(current.get().otherSeeds());
    return addresses;
  }

  /** Passes on what was gathered; where daemons are many, to each zone what concerns it. */
  private void passOn(long nowMs) {
    Map<String, List<FleetMember>> byZone = new TreeMap<>();
    byZone.put(member.zone(), overlay.near(nowMs));
    for (FleetMember far : overlay.far(nowMs)) {
      byZone.computeIfAbsent(far.zone(), zone -> new ArrayList<>()).add(far);
    }
    List<FleetReport> all = gathered.drain(nowMs);
    byZone.forEach(
        (zone, members) -> {
          List<FleetReport> reports =
              all.stream().filter(one -> !manyDaemons || one.concerns(zone)).toList();
          send(news(reports, nowMs), addresses(members));
        });
  }

  private FleetNews.Builder news(List<FleetReport> reports, long nowMs) {
    FleetNews.Builder news = news();
    reports.forEach(report -> news.addReports(FleetCodec.write(report, nowMs)));
    return news;
  }

  private FleetNews.Builder news() {
    StoreView view = store.get();
    return FleetNews.newBuilder()
        .setSender(FleetCodec.write(member))
        .setConfigurationRevision(view.configurationRevision())
        .setEndpointsEra(view.endpointsChanged().era())
        .setEndpointsChanged(view.endpointsChanged().offset())
        .addAllLeaving(FleetCodec.writeEndpoints(leavingNotices.toTell(clock.nowMs())))
        .setCrashSummary(crashSummary.getAsLong());
  }

  private void send(FleetNews.Builder news, Collection<HostAddress> to) {
    PeerMessage message = PeerCodec.from(self).setFleetNews(news).build();
    to.forEach(address -> network.tell(address, message));
  }

  private static Set<HostAddress> addresses(List<FleetMember> members) {
    Set<HostAddress> addresses = addressSet();
    members.forEach(one -> addresses.add(one.address()));
    return addresses;
  }

  /** Returns an empty set in a fixed order, so that equal histories send alike. */
  private static Set<HostAddress> addressSet() {
    return new TreeSet<>((one, other) -> one.toString().compareTo(other.toString()));
  }

  /** Logs who comes and goes, and tells the decisions of those who are gone. */
  private final class MemberLog implements FleetOverlay.Watcher {
    @Override
    public void appeared(FleetMember one) {
      log.event(LogEvent.PEER_ALIVE, one.identity());
    }

    @Override
    public void gone(FleetMember one, long silentMs) {
      log.event(LogEvent.PEER_SUSPECTED, one.identity(), Long.toString(silentMs));
      listener.gone(one.identity());
      network.drop(one.address());
    }
  }
}
