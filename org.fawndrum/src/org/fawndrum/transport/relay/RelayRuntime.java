// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.fawndrum.coordination.Action;
import org.fawndrum.coordination.EndpointRests;
import org.fawndrum.coordination.Policies;
import org.fawndrum.coordination.RequestCoordinator;
import org.fawndrum.coordination.crash.CrashNews;
import org.fawndrum.coordination.membership.FleetMember;
import org.fawndrum.errors.AddressUnavailableException;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LineBudget;
import org.fawndrum.internal.log.LogEvent;
import org.fawndrum.protocol.wire.KnowledgeRequest;
import org.fawndrum.protocol.wire.PeerMessage;
import org.fawndrum.settings.ListenSettings;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.HostListing;
import org.fawndrum.state.RouteTable;
import org.fawndrum.state.TableRevision;
import org.fawndrum.transport.HostClock;
import org.fawndrum.transport.RequestMetrics;
import org.fawndrum.transport.peer.NettyPeerNetwork;

/**
 * A whole host that relays requests: servers, followers of the platform's logs and the thread that
 * decides, wired together. A daemon is this class with settings and signals around it.
 */
public final class RelayRuntime {
  /** The most lines a second about what endpoints say of themselves. */
  private static final int NOTICE_LINES = 5;

  private final Vertx vertx;
  private volatile RelaySettings settings;
  private final HostIdentity self;
  private final HostClock clock;
  private final HostLog log;
  private final RouteStore routes;
  private final RelayDuty decisions;
  private final SureEvents events;
  private final RelayServer callers;
  private final RelayDrain drain;
  private final ReadinessServer readiness;
  private final NettyPeerNetwork network;
  private final FleetDuty fleet;
  private final StoreReading reading;
  private final PeerKnowledge knowledge;
  private final MetricsServer metrics;
  private final DecisionLog decisionLog;
  private final StallWatch stalls;
  private final CurrentStarts orders;
  private final StartQuestions startQuestions;
  private final EndpointRests rests = new EndpointRests();
  private final LineBudget noticeLines = new LineBudget(NOTICE_LINES);
  private volatile long listingVersion = -1;
  private volatile long listedAtMs;

  /**
   * Makes a host that has not started.
   *
   * @param vertx runs its servers; closed by the caller
   * @param settings its checked settings
   * @param adapter whatever depends on the platform
   * @param clock its clock
   * @param incarnation grows with each start of the host
   * @param log where events go
   */
  public RelayRuntime(
      Vertx vertx,
      RelaySettings settings,
      RelayAdapter adapter,
      HostClock clock,
      long incarnation,
      HostLog log) {
    this.vertx = vertx;
    this.settings = settings;
    this.clock = clock;
    this.log = log;
    this.self = new HostIdentity(settings.host(), incarnation);
    this.routes = new RouteStore(this::routesChanged);
    RetryShare retries = new RetryShare(settings.bounds(), this::others, this::seeded);
    RequestCoordinator coordinator =
        new RequestCoordinator(
            self,
            settings.zone(),
            Policies.engineModel(retries.budget(), this::manyDaemons, this::silentZones)
                .hearing(this::hearsAll),
            rests);
    MetricRegistry registry = new MetricRegistry();
    this.decisionLog =
        new DecisionLog(new RequestMetrics(registry, clock), this::basis, clock, log);
    this.decisions =
        new RelayDuty(
            coordinator, clock, decisionLog, this::announced, new Teller(), this::askStart, log);
    this.events = new SureEvents(vertx, decisions, log);
    this.metrics =
        new MetricsServer(vertx, settings.metrics(), registry, decisions::refusedRequests, log);
    FleetReceiver receiver = new FleetReceiver(this::heard, new LateKnowledge(), clock);
    ListenSettings peers = new ListenSettings(settings.peers(), Optional.empty());
    this.network = new NettyPeerNetwork(peers, receiver, log);
    this.fleet = newFleet();
    this.stalls = new StallWatch(vertx, clock);
    this.orders = new CurrentStarts(adapter.orders(), this::restarted);
    this.orders.hearNotices(this::noticed);
    this.startQuestions = new StartQuestions(vertx, orders, this::startAsked);
    this.callers = callerServer(adapter);
    this.drain = newDrain();
    this.readiness = new ReadinessServer(vertx, settings.readiness(), this::ready);
    this.reading =
        new StoreReading(
            vertx, adapter, routes, this::bounds, this::speaks, this::listed, clock, log);
    this.knowledge =
        new PeerKnowledge(
            self, network, fleet, routes, reading.configuration(), reading.endpoints(), clock, log);
    gauges(registry);
  }

  private RelaySettings settingsInForce() {
    return settings;
  }

  private RelayBounds bounds() {
    return settings.bounds();
  }

  private boolean speaks() {
    return fleet.speaker() == null;
  }

  private StoreView storeView() {
    return reading.view();
  }

  private int others() {
    return fleet.others();
  }

  private boolean seeded() {
    return !settings.otherSeeds().isEmpty();
  }

  /** What this host knows of the store; the network needs it before the rest is made. */
  private final class LateKnowledge implements FleetReceiver.Knowledge {
    @Override
    public PeerMessage.Builder reply(KnowledgeRequest request) {
      return knowledge.reply(request);
    }

    @Override
    public void told(FleetMember peer, StoreView view) {
      knowledge.told(peer, view);
    }
  }

  /** Hands what the decisions learn of endpoints to the thread that knows the other daemons. */
  private final class Teller implements FleetTeller {
    @Override
    public void crashes(CrashNews news) {
      if (news.hops() <= CrashNews.MOST_HOPS) {
        fleet.offer(new FleetEvent.Crashes(Optional.empty(), news));
      }
    }

    @Override
    public void allCrashes(HostAddress to, CrashNews all) {
      fleet.offer(new FleetEvent.Crashes(Optional.of(to), all));
    }

    @Override
    public void leaving(List<HostIdentity> endpoints) {
      fleet.offer(new FleetEvent.Leaving(endpoints));
    }
  }

  private FleetDuty newFleet() {
    return new FleetDuty(
        self,
        this::settingsInForce,
        this::storeView,
        decisions::crashSummary,
        network,
        clock,
        new FleetReports(events),
        log);
  }

  private RelayDrain newDrain() {
    return new RelayDrain(
        vertx, callers, decisions, events, this::bounds, stalls.awake(), clock, log);
  }

  private RelayServer callerServer(RelayAdapter adapter) {
    RelayTools tools =
        new RelayTools(
            new EndpointClient(vertx),
            adapter.codec(),
            orders,
            rests,
            this::noticed,
            stalls,
            clock,
            decisionLog,
            log);
    RelayIntake intake =
        new RelayIntake(
            routes, decisions, tools, () -> settings.bounds(), new AttemptReports(events));
    return new RelayServer(
        vertx,
        settings.callers(),
        routes,
        adapter.codec(),
        clock,
        intake,
        decisionLog,
        this::known);
  }

  /** Takes over what can change while the host runs: bounds and seeds, but no addresses. */
  public void reload(RelaySettings newer) {
    List<String> before = settings.letGo();
    settings = newer;
    newer.letGo().stream()
        .filter(one -> !before.contains(one))
        .forEach(one -> events.accept(new RelayEvent.LetGo(one)));
  }

  private DecisionLog.Basis basis() {
    long nowMs = clock.nowMs();
    return new DecisionLog.Basis(
        routes.table().revision(),
        routes.table().revision() < 0 ? -1 : routes.ageMs(nowMs),
        listingVersion,
        listingVersion < 0 ? -1 : nowMs - listedAtMs);
  }

  private void gauges(MetricRegistry registry) {
    registry.registerGauge("configurationRevision", () -> routes.table().revision());
    registry.registerGauge("configurationAgeMs", () -> routes.ageMs(clock.nowMs()));
    registry.registerGauge("endpointsAgeMs", () -> clock.nowMs() - listedAtMs);
    registry.registerGauge("unusableEntries", () -> reading.endpoints().unusable());
    registry.registerGauge("leavingEndpoints", decisions::leavingEndpoints);
    registry.registerGauge("restingEndpoints", () -> rests.count(clock.nowMs()));
    registry.registerGauge("openRequests", decisions::open);
    registry.registerGauge("refusedRequests", () -> decisions.refusedRequests().size());
    registry.registerGauge("decisionsRingFill", decisions::ringFill);
    registry.registerGauge("callerConnections", () -> callers.connections());
    registry.registerGauge("peerBytesSent", network::bytesSent);
    registry.registerGauge("attemptsHoldingMemory", stalls::holdingMemory);
    registry.registerGauge("longestSilenceMs", stalls::longestSilenceMs);
    registry.registerGauge("peers", this::peers);
  }

  private void heard(FleetEvent event) {
    fleet.offer(event);
  }

  private void announced(Action.Announce news) {
    fleet.announce(news);
  }

  private boolean manyDaemons() {
    return fleet.manyDaemons();
  }

  private boolean hearsAll() {
    return fleet.hearsAll();
  }

  private Set<String> silentZones() {
    return fleet.silentZones();
  }

  /** Starts everything; fails when an address cannot be had. */
  public Future<Void> start() {
    decisions.start();
    fleet.start();
    return had(
            "peers",
            settings.peers(),
            Future.fromCompletionStage(network.listen(), vertx.getOrCreateContext()))
        .compose(listening -> had("readiness", settings.readiness(), readiness.listen()))
        .compose(server -> had("metrics", settings.metrics(), metrics.listen()))
        .compose(server -> had("callers", settings.callers(), callers.listen()))
        .map(
            server -> {
              reading.start();
              knowledge.start(vertx, settings.bounds().drainMs());
              log.event(LogEvent.HOST_STARTED, self, settings.zone());
              return null;
            });
  }

  private static <T> Future<T> had(String purpose, HostAddress address, Future<T> listening) {
    return listening.recover(
        cause -> Future.failedFuture(new AddressUnavailableException(purpose, address, cause)));
  }

  /** Tells whether this host takes callers: it knows what it needs and is not stopping. */
  public boolean ready() {
    return !drain.begun() && known() && trusted();
  }

  /** Returns how many other daemons are heard now. */
  public int peers() {
    return fleet.alive().size();
  }

  private boolean trusted() {
    boolean cutOff = fleet.others() > 0 && fleet.alive().isEmpty();
    return ConfigurationTrust.forCallers(bounds(), routes.ageMs(clock.nowMs()), cutOff);
  }

  /** Tells whether this host has read a configuration and the endpoints since its start. */
  private boolean known() {
    return listingVersion >= 0 && routes.table().revision() >= 0;
  }

  private void routesChanged(RouteTable table, TableRevision cells) {
    events.accept(new RelayEvent.RoutesChanged(table, cells));
  }

  private void listed(HostListing listing) {
    listingVersion = listing.version();
    listedAtMs = clock.nowMs();
    orders.listed(listing);
    events.accept(new RelayEvent.Listed(listing));
  }

  private void noticed(HostIdentity endpoint, EndpointNotice notice) {
    if (noticeLines.take(clock.nowMs())) {
      log.event(LogEvent.ENDPOINT_NOTICE, endpoint, notice.leaving(), notice.restMs());
    }
    if (notice.restMs() > 0) {
      rests.asked(endpoint, notice.restMs(), clock.nowMs());
      events.accept(new RelayEvent.RestAsked());
    }
    if (notice.leaving()) {
      events.accept(new RelayEvent.Leaving(List.of(endpoint), "itself"));
    }
  }

  private void askStart(Endpoint endpoint) {
    startQuestions.ask(endpoint);
  }

  private void startAsked(Endpoint endpoint) {
    events.accept(new RelayEvent.StartAsked(endpoint.identity()));
  }

  private void restarted(HostIdentity start) {
    log.event(LogEvent.ENDPOINT_RESTARTED, start);
    events.accept(new RelayEvent.Restarted(start));
  }

  /**
   * Begins a planned stop: not ready from now on, takes only what surely ends in time, and gives a
   * future that completes when the process may end: when nothing is left, or shortly before it
   * would be killed.
   */
  public CompletableFuture<Void> stop() {
    return drain.begin();
  }
}
