// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;
import org.fawndrum.coordination.AttemptEvent;
import org.fawndrum.coordination.AttemptId;
import org.fawndrum.coordination.Policies;
import org.fawndrum.coordination.RequestCoordinator;
import org.fawndrum.coordination.SnapshotSchedule;
import org.fawndrum.coordination.membership.MembershipSettings;
import org.fawndrum.coordination.membership.PeerFacts;
import org.fawndrum.coordination.membership.ZoneMembership;
import org.fawndrum.coordination.once.ClaimAnswer;
import org.fawndrum.coordination.once.ClaimKey;
import org.fawndrum.coordination.once.Registration;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;
import org.fawndrum.protocol.LogCodec;
import org.fawndrum.protocol.OperatorMessages.Status;
import org.fawndrum.protocol.PeerCodec;
import org.fawndrum.protocol.wire.ClaimRequest;
import org.fawndrum.protocol.wire.EndpointStart;
import org.fawndrum.protocol.wire.LeavingNews;
import org.fawndrum.protocol.wire.PeerMessage;
import org.fawndrum.protocol.wire.SnapshotRecord;
import org.fawndrum.settings.HostSettings;
import org.fawndrum.state.EntryHost;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.HostListing;
import org.fawndrum.state.TableRevision;
import org.fawndrum.transport.peer.NettyPeerNetwork;

/**
 * Runtime of an entry host: creates, connects, starts and stops its servers, pollers and threads.
 * The daemon adds settings and signal handling.
 */
public final class EntryHostRuntime {
  private static final long RETRY_MS = 1;
  private static final long RETRY_NANOS = 1_000_000;
  private static final long DRAIN_CHECK_MS = 100;
  private static final long LOG_READ_WAIT_MS = 500;
  private static final long REGISTER_RETRY_MS = 1_000;
  private static final long LOST_PEER_CHECK_MS = 5_000;
  private static final long SWEEP_INTERVAL_MS = 15_000;

  private final Vertx vertx;
  private final HostSettings settings;
  private final HostIdentity self;
  private final HostClock clock;
  private final HostLog log = new HostLog("org.fawndrum.host");
  private final TableStore tables = new TableStore();
  private final RequestMetrics metrics;
  private final DecisionFeed feed;
  private final DecisionDuty decisions;
  private final HttpPlatform platform;
  private final LogFollower follower;
  private final EndpointPoller poller;
  private final NettyPeerNetwork network;
  private final PeerDuty members;
  private final CallerServer callers;
  private final OperatorServer operators;
  private final LostPeerDetector lostPeers;
  private final HostStatus status;
  private final MemorySweep sweep;
  private final CompletableFuture<Void> drained = new CompletableFuture<>();
  private volatile HostListing listing = HostListing.NONE;
  private volatile boolean draining;
  private long heartbeats;

  /**
   * Creates a host; it starts with {@link #start}.
   *
   * @param vertx runs the servers; must be closed by the caller
   * @param settings the validated settings
   * @param clock the clock of the host
   * @param incarnation the incarnation of this host, greater than that of any earlier start
   */
  public EntryHostRuntime(Vertx vertx, HostSettings settings, HostClock clock, long incarnation) {
    this.vertx = vertx;
    this.settings = settings;
    this.clock = clock;
    this.self = new HostIdentity(settings.host(), incarnation);
    this.metrics = new RequestMetrics(new MetricRegistry(), clock);
    this.feed = new DecisionFeed(metrics, log);
    this.platform = new HttpPlatform(vertx, settings.platform(), LOG_READ_WAIT_MS);
    this.follower =
        new LogFollower(
            platform,
            new HttpPlatform(vertx, settings.platform(), 0),
            tables,
            clock,
            this::snapshotRank,
            this::registered,
            log);
    this.decisions =
        new DecisionDuty(
            new RequestCoordinator(self, settings.zone(), Policies.standard()),
            self,
            settings.zone(),
            new ClaimNetwork(),
            clock,
            settings.limits().ringEvents(),
            feed::accept,
            this::announceDraining,
            log);
    PeerMessageHandler messageHandler =
        new PeerMessageHandler(self, clock, this::offerWithRetry, this::offerToMembers);
    this.network = new NettyPeerNetwork(settings.peers(), messageHandler, log);
    ZoneMembership membership =
        new ZoneMembership(self, settings.zone(), MembershipSettings.DEFAULT, settings.seeds());
    this.members =
        new PeerDuty(
            self, membership, network, clock, this::ownFacts, new HostState(), this::peerSeen, log);
    EngineCalls engines = new EngineCalls(vertx, settings.limits().endpointSilenceMs());
    this.poller = endpointPoller(engines);
    this.callers = callerServer(engines);
    this.sweep =
        new MemorySweep(self, settings.zone(), engines, () -> listing, members::peers, clock, log);
    this.lostPeers = new LostPeerDetector(members::peers, lost -> offerWithRetry(lost));
    this.status =
        new HostStatus(
            self, settings.zone(), clock, tables, decisions, follower, feed, members, log);
    this.operators =
        new OperatorServer(
            vertx, settings, platform, tables, feed, metrics, this::status, this::drain, log);
    tables.onNewer(this::tableChanged);
  }

  private EndpointPoller endpointPoller(EngineCalls engines) {
    EnginePollShare share =
        new EnginePollShare(self.host(), settings.zone(), members::livingInZone);
    return new EndpointPoller(vertx, platform, engines, decisions, this::updateListing, share);
  }

  private CallerServer callerServer(EngineCalls engines) {
    ExchangeFactory exchanges = new ExchangeFactory(vertx, engines, this::attemptUpdated, metrics);
    RequestIntake intake =
        new RequestIntake(vertx, settings.limits(), clock, tables, decisions, exchanges);
    return new CallerServer(vertx, settings, new RequestIds(self), intake);
  }

  /** Starts servers and threads; the future fails when an address cannot be bound. */
  public Future<Void> start() {
    feed.start();
    decisions.start();
    return Future.fromCompletionStage(network.listen(), vertx.getOrCreateContext())
        .compose(listening -> operators.listen())
        .compose(server -> callers.listen())
        .map(
            server -> {
              follower.start();
              poller.start();
              members.start();
              register();
              vertx.setPeriodic(LOST_PEER_CHECK_MS, id -> lostPeers.check(listing, clock.nowMs()));
              vertx.setPeriodic(SWEEP_INTERVAL_MS, id -> sweep.sweepEngines());
              log.event(LogEvent.HOST_STARTED, self, settings.zone());
              return null;
            });
  }

  /** Returns the bound port of the server for callers. */
  public int callerPort() {
    return callers.port();
  }

  /** Returns the bound port of the server for operators. */
  public int operatorPort() {
    return operators.port();
  }

  /** Returns the address for peers, with the bound port. */
  public HostAddress peerAddress() {
    return new HostAddress(settings.peers().address().ip(), network.port());
  }

  private void attemptUpdated(AttemptId attempt, AttemptEvent event) {
    offerWithRetry(new HostEvent.AttemptUpdated(attempt, event));
  }

  /** Offers an event of accepted work, which must not be lost, again until the ring has space. */
  private void offerWithRetry(HostEvent event) {
    if (!decisions.offer(event)) {
      log.event(LogEvent.EVENT_RING_FULL, "decisions");
      vertx.setTimer(RETRY_MS, id -> offerWithRetry(event));
    }
  }

  private void offerToMembers(PeerDuty.PeerEvent event) {
    members.offer(event);
  }

  private void tableChanged(TableRevision table) {
    offerWithRetry(new HostEvent.TableChanged(table));
    log.event(LogEvent.TABLE_IN_FORCE, Long.toString(table.revision()));
  }

  private synchronized void updateListing(HostListing newer) {
    if (newer.version() <= listing.version()) {
      return;
    }
    listing = newer;
    offerWithRetry(new HostEvent.HostsListed(newer));
    offerToMembers(new PeerDuty.PeerEvent.HostsListed(newer));
  }

  private int snapshotRank(long lastSnapshot) {
    List<String> names = listing.entryHosts().stream().map(EntryHost::name).sorted().toList();
    return SnapshotSchedule.rank(self.host(), names, lastSnapshot);
  }

  /**
   * Queues a registration for the decision thread. Blocks while the ring is full, so that
   * registrations stay in log order and precede the completion of the log read.
   */
  private void registered(Registration registration) {
    while (!decisions.offer(new HostEvent.HostRegistered(registration))) {
      LockSupport.parkNanos(RETRY_NANOS);
    }
    boolean own = registration.identity().equals(self) && !registration.retired();
    if (own) {
      callers.registered();
      log.event(LogEvent.HOST_REGISTERED, self);
    }
  }

  private void register() {
    Registration own = new Registration(self, settings.zone(), peerAddress(), false);
    platform.append(LogCodec.registration(own));
    // The confirmation may be lost: appends again until the registration is read from the log.
    vertx.setTimer(
        REGISTER_RETRY_MS,
        id -> {
          if (!decisions.view().registered() && !draining) {
            register();
          }
        });
  }

  private void peerSeen(PeerFacts facts) {
    decisions.offer(new HostEvent.PeerSeen(facts.identity()));
  }

  private PeerFacts ownFacts() {
    TableRevision table = tables.table();
    DecisionDuty.View view = decisions.view();
    return new PeerFacts(
        self,
        settings.zone(),
        peerAddress(),
        ++heartbeats,
        table.revision(),
        table.position(),
        listing.version(),
        draining,
        view.waitingRequests(),
        view.openRequests());
  }

  private void announceDraining(HostIdentity endpoint) {
    EndpointStart start =
        EndpointStart.newBuilder()
            .setHost(endpoint.host())
            .setIncarnation(endpoint.incarnation())
            .build();
    PeerMessage notice =
        PeerCodec.newMessage(self)
            .setLeavingNews(LeavingNews.newBuilder().addEndpoints(start))
            .build();
    members.peers().forEach(peer -> network.send(peer.facts().address(), notice));
  }

  /** Access to the log and the other daemons for claims. */
  private final class ClaimNetwork implements DecisionDuty.ClaimTransport {
    @Override
    public CompletableFuture<Void> readLogToEnd() {
      return follower.readToEnd();
    }

    @Override
    public CompletableFuture<ClaimAnswer> requestClaim(
        HostIdentity identity, HostAddress address, ClaimKey key) {
      ClaimRequest request = ClaimRequest.newBuilder().setKey(key.toString()).build();
      return network
          .request(address, PeerCodec.newMessage(self).setClaimRequest(request))
          .thenApply(
              reply ->
                  // Another incarnation at this address has no record of the earlier one's keys.
                  PeerCodec.sender(reply).equals(identity)
                      ? PeerCodec.claimAnswer(reply.getClaimReply())
                      : ClaimAnswer.HELD);
    }
  }

  /** The state that this host exchanges with its peers. */
  private final class HostState implements PeerDuty.SharedState {
    @Override
    public SnapshotRecord snapshot() {
      return follower.snapshot();
    }

    @Override
    public void accept(SnapshotRecord snapshot) {
      follower.offerPeerSnapshot(snapshot);
    }

    @Override
    public void accept(HostListing newer) {
      updateListing(newer);
    }

    @Override
    public byte[] loadDigest() {
      return poller.digest();
    }

    @Override
    public boolean platformSuffices() {
      return follower.platformSuffices();
    }
  }

  /**
   * Stops admitting requests. The returned future completes when the last request has its answer
   * and the keys of requests that must not be repeated were handed over to peers.
   */
  public CompletableFuture<Void> drain() {
    if (!draining) {
      draining = true;
      log.event(LogEvent.DRAIN_STARTED, Integer.toString(decisions.view().openRequests()), 0);
      offerWithRetry(new HostEvent.DrainRequested());
      vertx.setPeriodic(DRAIN_CHECK_MS, this::checkDrained);
    }
    return drained;
  }

  private void checkDrained(long timer) {
    boolean finished = decisions.ring().size() == 0 && decisions.view().openRequests() == 0;
    if (finished && vertx.cancelTimer(timer)) {
      offerWithRetry(
          new HostEvent.HandoverRequested(keys -> vertx.runOnContext(v -> retire(keys))));
    }
  }

  private void retire(List<org.fawndrum.coordination.once.CallRegistry.HandedOverKey> keys) {
    new RetireHost(
            self,
            settings.zone(),
            peerAddress(),
            network,
            platform,
            members.livingInZone(),
            clock.nowMs(),
            log)
        .call(keys)
        .whenComplete(
            (handedOver, failure) -> {
              log.event(LogEvent.DRAIN_COMPLETED, "no request was aborted");
              drained.complete(null);
            });
  }

  /** Returns whether a planned shutdown was started. */
  public boolean draining() {
    return draining;
  }

  /** Returns the current status of the host. */
  public Status status() {
    return status.read(draining, drained.isDone());
  }

  /** Stops all servers and threads at once; requests in progress are aborted. */
  public Future<Void> close() {
    poller.stop();
    return callers
        .close()
        .eventually(() -> operators.close())
        .eventually(
            () ->
                vertx.executeBlocking(
                    () -> {
                      members.close();
                      network.close();
                      follower.close();
                      decisions.close();
                      feed.close();
                      return null;
                    }));
  }
}
