// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.fawndrum.coordination.Action;
import org.fawndrum.coordination.AttemptEvent;
import org.fawndrum.coordination.AttemptId;
import org.fawndrum.coordination.Policies;
import org.fawndrum.coordination.RequestCoordinator;
import org.fawndrum.coordination.RetryBudget;
import org.fawndrum.coordination.WindowRetryBudget;
import org.fawndrum.coordination.engine.EngineNews;
import org.fawndrum.coordination.membership.FleetReport;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;
import org.fawndrum.protocol.KeyedLog;
import org.fawndrum.protocol.wire.KnowledgeRequest;
import org.fawndrum.protocol.wire.PeerMessage;
import org.fawndrum.settings.ListenSettings;
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
  /** The pause before an event that found no room in the ring is offered again, in milliseconds. */
  private static final long RING_RETRY_MS = 1;

  /** How long a question for the configuration waits; below the bound for revoked keys. */
  private static final long CONFIGURATION_WAIT_MS = 1_500;

  /** The pause between readings of the endpoints, as a part of the drain bound. */
  private static final double ENDPOINTS_PAUSE_PART = 0.35;

  /**
   * At what age of the endpoints, as a part of the drain bound, a host reads them itself. Above a
   * speaker's pause with the time between two questions to it; what is left of the bound is for
   * looking and reading.
   */
  private static final double OWN_ENDPOINTS_PART = 0.7;

  /** The same for the configuration, as a part of the bound for revoked keys. */
  private static final double OWN_CONFIGURATION_PART = 0.6;

  /**
   * The part of the retries allowed to all daemons that they use; the rest is for counting late.
   */
  private static final double RETRY_PART = 0.8;

  /** The fewest daemons among which the retries allowed in any case are shared out. */
  private static final int FEWEST_DAEMONS = 12;

  /** The most of them that a host uses before it heard any other: many may have just started. */
  private static final double RESERVE_UNHEARD = 1;

  /** How many daemons there may be for each that is known: some are cut off or just starting. */
  private static final double DAEMONS_PER_KNOWN = 1.3;

  private final Vertx vertx;
  private volatile RelaySettings settings;
  private final HostIdentity self;
  private final HostClock clock;
  private final HostLog log;
  private final RouteStore routes;
  private final RelayDuty decisions;
  private final RelayServer callers;
  private final RelayDrain drain;
  private final ReadinessServer readiness;
  private final NettyPeerNetwork network;
  private final FleetDuty fleet;
  private final TopicFollower configuration;
  private final TopicFollower endpoints;
  private final EndpointReader records;
  private final PeerKnowledge knowledge;
  private final MetricsServer metrics;
  private final DecisionLog decisionLog;
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
    RequestCoordinator coordinator =
        new RequestCoordinator(
            self, settings.zone(), Policies.engineModel(retries(), this::manyDaemons));
    MetricRegistry registry = new MetricRegistry();
    this.decisionLog =
        new DecisionLog(new RequestMetrics(registry, clock), this::basis, clock, log);
    this.decisions = new RelayDuty(coordinator, clock, decisionLog, this::announced, log);
    this.metrics = new MetricsServer(vertx, settings.metrics(), registry, log);
    FleetReceiver receiver = new FleetReceiver(this::heard, new LateKnowledge(), clock);
    ListenSettings peers = new ListenSettings(settings.peers(), Optional.empty());
    this.network = new NettyPeerNetwork(peers, receiver, log);
    this.fleet =
        new FleetDuty(self, () -> settings, this::storeView, network, clock, new Told(), log);
    this.callers = callerServer(adapter);
    this.drain = new RelayDrain(vertx, callers, decisions, () -> settings.bounds(), clock, log);
    this.readiness = new ReadinessServer(vertx, settings.readiness(), this::ready);
    ConfigurationReader configurations = new ConfigurationReader(adapter.decoder(), routes, log);
    this.records = new EndpointReader(adapter.decoder(), this::listed, clock, log);
    this.configuration =
        follower(
            adapter,
            KeyedLog.Topic.OPERATORS,
            new TopicFollower.Pace(CONFIGURATION_WAIT_MS, 0),
            new ReadingShare(
                this::speaks,
                () -> routes.ageMs(clock.nowMs()),
                () -> (long) (settings.bounds().revokeMs() * OWN_CONFIGURATION_PART)),
            configurations);
    this.endpoints =
        follower(
            adapter,
            KeyedLog.Topic.ENDPOINTS,
            new TopicFollower.Pace(0, (long) (settings.bounds().drainMs() * ENDPOINTS_PAUSE_PART)),
            new ReadingShare(
                this::speaks,
                () -> records.ageMs(clock.nowMs()),
                () -> (long) (settings.bounds().drainMs() * OWN_ENDPOINTS_PART)),
            records);
    this.knowledge =
        new PeerKnowledge(self, network, fleet, routes, configurations, records, clock, log);
    gauges(registry);
  }

  private boolean speaks() {
    return fleet.speaker() == null;
  }

  private StoreView storeView() {
    return new StoreView(routes.table().revision(), records.changedTo());
  }

  /** What this host knows of the store; the network needs it before the rest is made. */
  private final class LateKnowledge implements FleetReceiver.Knowledge {
    @Override
    public PeerMessage.Builder reply(KnowledgeRequest request) {
      return knowledge.reply(request);
    }

    @Override
    public void told(HostAddress at, StoreView view) {
      knowledge.told(at, view);
    }
  }

  /** Hands what other daemons report to the decisions. */
  private final class Told implements FleetDuty.Listener {
    @Override
    public void reported(List<FleetReport> reports) {
      offerSurely(new RelayEvent.Told(reports));
    }

    @Override
    public void gone(HostIdentity daemon) {
      offerSurely(new RelayEvent.DaemonGone(daemon));
    }

    @Override
    public void workWanted(Consumer<List<EngineNews>> reply) {
      offerSurely(new RelayEvent.WorkWanted(reply));
    }
  }

  private RelayServer callerServer(RelayAdapter adapter) {
    RelayTools tools =
        new RelayTools(
            new EndpointClient(vertx),
            adapter.codec(),
            adapter.orders(),
            new StallWatch(vertx, clock),
            clock,
            decisionLog,
            log);
    RelayIntake intake =
        new RelayIntake(routes, decisions, tools, () -> settings.bounds(), new Attempts());
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

  private TopicFollower follower(
      RelayAdapter adapter,
      KeyedLog.Topic topic,
      TopicFollower.Pace pace,
      TopicFollower.Need need,
      TopicFollower.Reader reader) {
    return new TopicFollower(vertx, adapter.store(), topic, pace, need, reader, clock, log);
  }

  /** Tells the decisions what happens to attempts and callers. */
  private final class Attempts implements RelayIntake.Attempts {
    @Override
    public void happened(AttemptId attempt, AttemptEvent event) {
      offerSurely(new RelayEvent.Attempted(attempt, event));
    }

    @Override
    public void helperRefused(AttemptId attempt, HostIdentity helper) {
      offerSurely(new RelayEvent.HelperRefused(attempt, helper));
    }

    @Override
    public void callerGone(String requestId) {
      offerSurely(new RelayEvent.CallerGone(requestId));
    }
  }

  /** Takes over what can change while the host runs: bounds and seeds, but no addresses. */
  public void reload(RelaySettings newer) {
    settings = newer;
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
    registry.registerGauge("openRequests", decisions::open);
    registry.registerGauge("decisionsRingFill", decisions::ringFill);
    registry.registerGauge("callerConnections", () -> callers.connections());
    registry.registerGauge("peerBytesSent", network::bytesSent);
    registry.registerGauge("peers", () -> fleet.alive().size());
  }

  private RetryBudget retries() {
    RelayBounds bounds = settings.bounds();
    return new WindowRetryBudget(
        bounds.retryRatio() * RETRY_PART, () -> reserve(bounds), bounds.retryWindowMs());
  }

  /** Returns this host's part of the retries that all daemons are allowed in any case. */
  private double reserve(RelayBounds bounds) {
    int others = fleet.others();
    double known = Math.ceil((others + 1) * DAEMONS_PER_KNOWN);
    double part = bounds.retrySlack() * RETRY_PART / Math.max(FEWEST_DAEMONS, known);
    boolean unheard = others == 0 && !settings.otherSeeds().isEmpty();
    return unheard ? Math.min(RESERVE_UNHEARD, part) : part;
  }

  private void heard(FleetDuty.FleetEvent event) {
    fleet.offer(event);
  }

  private void announced(Action.Announce news) {
    fleet.announce(news);
  }

  private boolean manyDaemons() {
    return fleet.manyDaemons();
  }

  /** Starts everything; fails when an address cannot be had. */
  public Future<Void> start() {
    decisions.start();
    fleet.start();
    return Future.fromCompletionStage(network.listen(), vertx.getOrCreateContext())
        .compose(listening -> readiness.listen())
        .compose(server -> metrics.listen())
        .compose(server -> callers.listen())
        .map(
            server -> {
              configuration.start();
              endpoints.start();
              knowledge.start(vertx, settings.bounds().drainMs());
              log.event(LogEvent.HOST_STARTED, self, settings.zone());
              return null;
            });
  }

  /** Tells whether this host takes callers: it knows what it needs and is not stopping. */
  public boolean ready() {
    boolean fresh = routes.ageMs(clock.nowMs()) < settings.bounds().revokeMs();
    return !drain.begun() && fresh && known();
  }

  /** Tells whether this host has read a configuration and the endpoints since its start. */
  private boolean known() {
    return listingVersion >= 0 && routes.table().revision() >= 0;
  }

  /** Events about work already taken must not be lost: when the ring is full, they come again. */
  private void offerSurely(RelayEvent event) {
    if (!decisions.offer(event)) {
      log.event(LogEvent.RING_REFUSED, "decisions");
      vertx.setTimer(RING_RETRY_MS, id -> offerSurely(event));
    }
  }

  private void routesChanged(RouteTable table, TableRevision cells) {
    offerSurely(new RelayEvent.RoutesChanged(table, cells));
  }

  private void listed(HostListing listing) {
    listingVersion = listing.version();
    listedAtMs = clock.nowMs();
    offerSurely(new RelayEvent.Listed(listing));
  }

  /**
   * Stops taking new connections, lets what is in progress end, and gives a future that completes
   * when the process may end: when nothing is left, or shortly before it would be killed.
   */
  public CompletableFuture<Void> stop() {
    return drain.begin();
  }
}
