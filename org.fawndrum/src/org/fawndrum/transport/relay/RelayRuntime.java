// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import com.codahale.metrics.MetricRegistry;
import io.netty.util.concurrent.EventExecutor;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.internal.VertxInternal;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.fawndrum.coordination.Action;
import org.fawndrum.coordination.EndpointRestrictions;
import org.fawndrum.coordination.Policies;
import org.fawndrum.coordination.RequestCoordinator;
import org.fawndrum.coordination.limit.EndpointPermits;
import org.fawndrum.coordination.limit.StartingEndpoints;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;
import org.fawndrum.settings.ListenSettings;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.HostListing;
import org.fawndrum.state.RouteTable;
import org.fawndrum.state.TableRevision;
import org.fawndrum.transport.HostClock;
import org.fawndrum.transport.RequestMetrics;
import org.fawndrum.transport.peer.NettyPeerNetwork;
import org.fawndrum.transport.proxy.ProxyServer;

/**
 * A complete host that relays requests: creates and connects the servers, the followers of the
 * platform's logs, the fleet duty and the decision duty. A daemon adds settings and signal
 * handling.
 */
public final class RelayRuntime {
  private final Vertx vertx;
  private final VertxTimer timer;
  private volatile RelaySettings settings;
  private final HostIdentity self;
  private final HostClock clock;
  private final HostLog log;
  private final RouteStore routes;
  private final RelayDuty decisions;
  private final ReliableEventSink events;
  private final RelayServer callers;
  private final RelayDrain drain;
  private final ReadinessServer readiness;
  private final NettyPeerNetwork network;
  private final FleetDuty fleet;
  private final StoreReader store;
  private final PeerStoreSync storeSync;
  private final MetricsServer metrics;
  private final DecisionLog decisionLog;
  private final StallWatch stallWatch;
  private final LatenessWatch lateness;
  private final CallerHolds holds;
  private final IncarnationGuard engineControl;
  private final IncarnationProbes incarnationProbes;
  private final EndpointNotices notices;
  private final EndpointStarts starts;
  private final EndpointPaths paths;
  private final ProxyServer proxy;
  private final StartLog startLog;
  private volatile long listingVersion = -1;
  private volatile long listedAtMs;

  /**
   * Creates a host that has not started.
   *
   * @param vertx runs its servers; closed by the caller
   * @param settings its validated settings
   * @param adapter the components that depend on the platform
   * @param clock its clock
   * @param incarnation increases with each start of the host
   * @param log receives log events
   */
  public RelayRuntime(
      Vertx vertx,
      RelaySettings settings,
      RelayAdapter adapter,
      HostClock clock,
      long incarnation,
      HostLog log) {
    this.vertx = vertx;
    this.timer = new VertxTimer(vertx);
    this.settings = settings;
    this.clock = clock;
    this.log = log;
    this.self = new HostIdentity(settings.host(), incarnation);
    EndpointRestrictions restrictions = new EndpointRestrictions();
    ZoneDrainNotifier onDrain =
        new ZoneDrainNotifier(this::zonesTakenBack, this::decide, this::offerToFleet, log);
    ZoneDrainStore drains = new ZoneDrainStore(restrictions.drainedZones(), onDrain);
    this.routes = new RouteStore(this::routesChanged, drains);
    RequestCoordinator coordinator = newCoordinator(restrictions);
    MetricRegistry registry = new MetricRegistry();
    this.decisionLog =
        new DecisionLog(new RequestMetrics(registry, clock), this::basis, clock, log);
    this.decisions = newDecisions(coordinator);
    this.lateness = new LatenessWatch(timer, decisions::offer, clock, log);
    this.events = new ReliableEventSink(vertx, decisions, log);
    this.starts = newStarts(restrictions.starts(), registry);
    this.notices =
        new EndpointNotices(restrictions, starts, events, this::offerToFleet, clock, registry, log);
    this.metrics =
        new MetricsServer(vertx, settings.metrics(), registry, decisions::crashingRequests, log);
    FleetReceiver receiver = new FleetReceiver(this::offerToFleet, this::storeSync, clock);
    ListenSettings peers = new ListenSettings(settings.peers(), Optional.empty());
    this.network = new NettyPeerNetwork(peers, receiver, lateness::allowanceMs, log);
    this.fleet = newFleet(restrictions);
    this.stallWatch = new StallWatch(vertx, clock);
    this.engineControl = new IncarnationGuard(adapter.engineControl(), this::restarted);
    this.engineControl.setNoticeListener(notices);
    this.incarnationProbes = new IncarnationProbes(vertx, engineControl, this::incarnationProbed);
    this.holds = new CallerHolds(vertx, () -> this.settings.hold(), clock, events, decisionLog);
    this.paths =
        EndpointPaths.create(vertx, settings, fleet::livePeers, clock, registry, log, events);
    this.engineControl.setPaths(paths);
    this.proxy = newProxy(adapter.codec());
    this.callers = callerServer(adapter);
    this.drain = newDrain();
    this.readiness = new ReadinessServer(vertx, settings.readiness(), this::isReady);
    this.store = newStore(adapter);
    this.storeSync =
        new PeerStoreSync(self, network, fleet, routes, store, new Random(), clock, log);
    this.startLog = new StartLog(self, log);
    gauges(registry, coordinator.permits());
  }

  private StoreReader newStore(RelayAdapter adapter) {
    return new StoreReader(
        timer,
        adapter,
        routes,
        this::bounds,
        lateness::allowanceMs,
        () -> fleet.readsForOthers(),
        this::applyListing,
        starts,
        clock,
        log);
  }

  private ProxyServer newProxy(RelayCodec codec) {
    ProxyConnector connector = new ProxyConnector(paths, notices, codec);
    return new ProxyServer(vertx, settings.proxy(), connector, clock, log);
  }

  private RequestCoordinator newCoordinator(EndpointRestrictions restrictions) {
    RetryShare retries =
        new RetryShare(
            settings.bounds(), this::otherDaemons, () -> !settings.otherSeeds().isEmpty());
    Policies policies =
        Policies.engineModel(retries.budget(), () -> fleet.manyDaemons(), this::silentZones)
            .withAllHostsReporting(this::allHostsReporting);
    return new RequestCoordinator(self, settings.zone(), policies, restrictions);
  }

  private RelayDuty newDecisions(RequestCoordinator coordinator) {
    return new RelayDuty(
        coordinator,
        clock,
        decisionLog,
        this::announce,
        new FleetPublisher(this::offerToFleet, this::restartDiscovered),
        this::probe,
        log);
  }

  private RelayBounds bounds() {
    return settings.bounds();
  }

  private StoreTimes storeTimes() {
    return new StoreTimes(bounds(), lateness.allowanceMs());
  }

  private int otherDaemons() {
    return fleet.knownPeerCount();
  }

  /** Returns the store synchronization, which is created after the network. */
  private PeerStoreSync storeSync() {
    return storeSync;
  }

  private void restartDiscovered(HostIdentity incarnation) {
    starts.restarted(incarnation);
  }

  private void zonesTakenBack(Set<String> zones) {
    starts.zonesTakenBack(zones);
  }

  private EndpointStarts newStarts(StartingEndpoints starting, MetricRegistry registry) {
    return new EndpointStarts(starting, events, timer, clock, registry, log);
  }

  private FleetDuty newFleet(EndpointRestrictions restrictions) {
    return new FleetDuty(
        self,
        () -> settings,
        () -> store.positions(),
        decisions::crashSummary,
        restrictions,
        notices::logRate,
        network,
        clock,
        new FleetEventForwarder(events),
        log);
  }

  private RelayDrain newDrain() {
    return new RelayDrain(
        vertx,
        callers,
        proxy,
        decisions,
        events,
        this::bounds,
        stallWatch.pauseDetector(),
        clock,
        log);
  }

  private RelayServer callerServer(RelayAdapter adapter) {
    RelayCodec codec = adapter.codec();
    LivenessProofs proofs = LivenessProofs.create(paths, codec, routes);
    RelayContext relay =
        new RelayContext(
            paths, proofs, codec, engineControl, notices, stallWatch, clock, decisionLog, log);
    RelayIntake intake =
        new RelayIntake(
            routes, decisions, relay, this::bounds, new AttemptEventForwarder(events), lateness);
    return new RelayServer(
        vertx,
        settings.callers(),
        routes,
        codec,
        clock,
        intake,
        decisionLog,
        this::hasState,
        holds);
  }

  /**
   * Applies the settings that may change at run time: limits, seeds and the fingerprints of
   * requests whose rejection is cleared, but no addresses.
   */
  public void reload(RelaySettings newer) {
    List<String> previous = settings.clearedFingerprints();
    settings = newer;
    newer.clearedFingerprints().stream()
        .filter(fingerprint -> !previous.contains(fingerprint))
        .forEach(fingerprint -> events.accept(new RelayEvent.RejectionCleared(fingerprint)));
  }

  private DecisionLog.Basis basis() {
    long nowMs = clock.nowMs();
    return new DecisionLog.Basis(
        routes.table().revision(),
        routes.table().revision() < 0 ? -1 : routes.ageMs(nowMs),
        listingVersion,
        listingVersion < 0 ? -1 : nowMs - listedAtMs,
        lateness.usualMs());
  }

  private void gauges(MetricRegistry registry, EndpointPermits permits) {
    RelayGauges gauges = new RelayGauges(registry);
    gauges.state(routes, store.endpoints(), () -> clock.nowMs() - listedAtMs, clock);
    gauges.process(startLog);
    gauges.decisions(decisions, stallWatch, permits);
    gauges.callers(callers, holds);
    gauges.lateness(lateness);
    gauges.fleet(fleet, network);
    gauges.proxy(proxy);
  }

  private void decide(RelayEvent event) {
    events.accept(event);
  }

  private void offerToFleet(FleetEvent event) {
    fleet.offer(event);
  }

  private void announce(Action.BroadcastWork update) {
    fleet.announce(update);
  }

  private boolean allHostsReporting() {
    return fleet.allHostsReporting();
  }

  private Set<String> silentZones() {
    return fleet.silentZones();
  }

  /** Starts all components; fails if an address is not available. */
  public Future<Void> start() {
    return Future.future(
        started -> vertx.getOrCreateContext().runOnContext(v -> startOnLoop().onComplete(started)));
  }

  private Future<Void> startOnLoop() {
    decisions.start();
    // Read while this host begins to listen.
    store.start();
    return HostStart.listenOn(
            "peers",
            settings.peers(),
            Future.fromCompletionStage(network.listen(), vertx.getOrCreateContext()))
        .compose(listening -> proxy.listen())
        .compose(
            listening -> HostStart.listenOn("readiness", settings.readiness(), readiness.listen()))
        .compose(server -> HostStart.listenOn("metrics", settings.metrics(), metrics.listen()))
        .compose(server -> HostStart.listenOn("callers", settings.callers(), callers.listen()))
        .map(
            server -> {
              lateness.start(timer.eventLoop());
              storeSync.start(timer.eventLoop(), timer, this::storeTimes);
              new HostStart(timer, this::hasState, store::isUnavailable, fleet::start, startLog)
                  .begin();
              log.event(LogEvent.HOST_STARTED, self, settings.zone());
              return null;
            });
  }

  /** Returns the event loops of this host and of its Vert.x instance. */
  public List<EventExecutor> eventLoops() {
    List<EventExecutor> loops = new ArrayList<>();
    loops.add(network.eventLoop());
    ((VertxInternal) vertx).eventLoopGroup().forEach(loops::add);
    ((VertxInternal) vertx).acceptorEventLoopGroup().forEach(loops::add);
    return loops;
  }

  /** Returns whether this host accepts callers: it has the required state and is not draining. */
  public boolean isReady() {
    return !drain.started() && hasState() && isConfigurationUsable();
  }

  /** Returns the number of live peers. */
  public int livePeerCount() {
    return fleet.livePeers().size();
  }

  private boolean isConfigurationUsable() {
    boolean cutOff = fleet.knownPeerCount() > 0 && fleet.livePeers().isEmpty();
    return ConfigurationFreshness.acceptsCallers(bounds(), routes.ageMs(clock.nowMs()), cutOff);
  }

  /** Returns whether this host has read a configuration and the endpoints since its start. */
  private boolean hasState() {
    return listingVersion >= 0 && routes.table().revision() >= 0;
  }

  private void routesChanged(RouteTable table, TableRevision rows) {
    starts.routesChanged(table);
    events.accept(new RelayEvent.RoutesChanged(table, rows));
  }

  private void applyListing(HostListing listing) {
    listingVersion = listing.version();
    listedAtMs = clock.nowMs();
    engineControl.updateListing(listing);
    starts.listingChanged(listing);
    paths.checks().listingChanged(listing);
    events.accept(new RelayEvent.ListingChanged(listing));
  }

  private void probe(Endpoint endpoint) {
    incarnationProbes.probe(endpoint);
  }

  private void incarnationProbed(Endpoint endpoint) {
    events.accept(new RelayEvent.IncarnationProbed(endpoint.identity()));
  }

  private void restarted(HostIdentity incarnation) {
    log.event(LogEvent.ENDPOINT_RESTARTED, incarnation);
    events.accept(new RelayEvent.EndpointRestarted(incarnation));
  }

  /**
   * Starts a planned shutdown. From now on the host is not ready and accepts only requests that
   * certainly complete in time. The returned future completes when the process may exit: when no
   * requests remain, or shortly before it would be killed.
   */
  public CompletableFuture<Void> stop() {
    fleet.offer(new FleetEvent.Stopping());
    return drain.start();
  }
}
