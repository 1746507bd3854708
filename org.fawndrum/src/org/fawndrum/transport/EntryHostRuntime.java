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
import org.fawndrum.coordination.SnapshotTurn;
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
 * A whole entry host: servers, followers and threads wired together. A daemon is this class with
 * settings and signals around it.
 */
public final class EntryHostRuntime {
  private static final long AGAIN_MS = 1;
  private static final long AGAIN_NANOS = 1_000_000;
  private static final long DRAIN_LOOK_MS = 100;
  private static final long READ_WAIT_MS = 500;
  private static final long REGISTER_AGAIN_MS = 1_000;
  private static final long LOST_LOOK_MS = 5_000;
  private static final long SWEEP_LOOK_MS = 15_000;

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
  private final EndpointWatch watch;
  private final NettyPeerNetwork network;
  private final PeerDuty members;
  private final CallerServer callers;
  private final OperatorServer operators;
  private final LostHosts lostHosts;
  private final HostStatus status;
  private final MemorySweep sweep;
  private final CompletableFuture<Void> drained = new CompletableFuture<>();
  private volatile HostListing listing = HostListing.NONE;
  private volatile boolean draining;
  private long heartbeats;

  /**
   * Makes a host that has not started.
   *
   * @param vertx runs its servers; closed by the caller
   * @param settings its checked settings
   * @param clock its clock
   * @param incarnation grows with each start on this host
   */
  public EntryHostRuntime(Vertx vertx, HostSettings settings, HostClock clock, long incarnation) {
    this.vertx = vertx;
    this.settings = settings;
    this.clock = clock;
    this.self = new HostIdentity(settings.host(), incarnation);
    this.metrics = new RequestMetrics(new MetricRegistry(), clock);
    this.feed = new DecisionFeed(metrics, log);
    this.platform = new HttpPlatform(vertx, settings.platform(), READ_WAIT_MS);
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
            this::tellLeaving,
            log);
    PeerDesk desk = new PeerDesk(self, clock, this::offerSurely, this::offerToMembers);
    this.network = new NettyPeerNetwork(settings.peers(), desk, log);
    ZoneMembership membership =
        new ZoneMembership(self, settings.zone(), MembershipSettings.DEFAULT, settings.seeds());
    this.members =
        new PeerDuty(
            self, membership, network, clock, this::ownFacts, new Holdings(), this::heard, log);
    EngineCalls engines = new EngineCalls(vertx, settings.limits().endpointSilenceMs());
    this.watch = endpointWatch(engines);
    this.callers = callerServer(engines);
    this.sweep =
        new MemorySweep(self, settings.zone(), engines, () -> listing, members::peers, clock, log);
    this.lostHosts = new LostHosts(members::peers, lost -> offerSurely(lost));
    this.status =
        new HostStatus(
            self, settings.zone(), clock, tables, decisions, follower, feed, members, log);
    this.operators =
        new OperatorServer(
            vertx, settings, platform, tables, feed, metrics, this::status, this::drain, log);
    tables.onNewer(this::tableChanged);
  }

  private EndpointWatch endpointWatch(EngineCalls engines) {
    WatchShare share = new WatchShare(self.host(), settings.zone(), members::livingInZone);
    return new EndpointWatch(vertx, platform, engines, decisions, this::listed, share);
  }

  private CallerServer callerServer(EngineCalls engines) {
    ExchangeFactory exchanges = new ExchangeFactory(vertx, engines, this::attempted, metrics);
    RequestIntake intake =
        new RequestIntake(vertx, settings.limits(), clock, tables, decisions, exchanges);
    return new CallerServer(vertx, settings, new RequestIds(self), intake);
  }

  /** Starts everything; fails when an address cannot be had. */
  public Future<Void> start() {
    feed.start();
    decisions.start();
    return Future.fromCompletionStage(network.listen(), vertx.getOrCreateContext())
        .compose(listening -> operators.listen())
        .compose(server -> callers.listen())
        .map(
            server -> {
              follower.start();
              watch.start();
              members.start();
              register();
              vertx.setPeriodic(LOST_LOOK_MS, id -> lostHosts.look(listing, clock.nowMs()));
              vertx.setPeriodic(SWEEP_LOOK_MS, id -> sweep.look());
              log.event(LogEvent.HOST_STARTED, self, settings.zone());
              return null;
            });
  }

  /** Returns the port of the callers' address. */
  public int callerPort() {
    return callers.port();
  }

  /** Returns the port of the operators' address. */
  public int operatorPort() {
    return operators.port();
  }

  /** Returns the address for peers, with the port that was bound. */
  public HostAddress peerAddress() {
    return new HostAddress(settings.peers().address().ip(), network.port());
  }

  private void attempted(AttemptId attempt, AttemptEvent event) {
    offerSurely(new HostEvent.Attempted(attempt, event));
  }

  /** Events about work already taken must not be lost: when the ring is full, they come again. */
  private void offerSurely(HostEvent event) {
    if (!decisions.offer(event)) {
      log.event(LogEvent.RING_REFUSED, "decisions");
      vertx.setTimer(AGAIN_MS, id -> offerSurely(event));
    }
  }

  private void offerToMembers(PeerDuty.PeerEvent event) {
    members.offer(event);
  }

  private void tableChanged(TableRevision table) {
    offerSurely(new HostEvent.TableChanged(table));
    log.event(LogEvent.TABLE_IN_FORCE, Long.toString(table.revision()));
  }

  private synchronized void listed(HostListing newer) {
    if (newer.version() <= listing.version()) {
      return;
    }
    listing = newer;
    offerSurely(new HostEvent.Listed(newer));
    offerToMembers(new PeerDuty.PeerEvent.Listed(newer));
  }

  private int snapshotRank(long lastSnapshot) {
    List<String> names = listing.entryHosts().stream().map(EntryHost::name).sorted().toList();
    return SnapshotTurn.rank(self.host(), names, lastSnapshot);
  }

  /** Registrations must reach the thread that decides in order, before the end of the read. */
  private void registered(Registration registration) {
    while (!decisions.offer(new HostEvent.Registered(registration))) {
      LockSupport.parkNanos(AGAIN_NANOS);
    }
    boolean own = registration.identity().equals(self) && !registration.retired();
    if (own) {
      callers.registered();
      log.event(LogEvent.REGISTERED, self);
    }
  }

  private void register() {
    Registration own = new Registration(self, settings.zone(), peerAddress(), false);
    platform.append(LogCodec.registration(own));
    // A lost confirmation is settled by what the log holds: appended again until it is read there.
    vertx.setTimer(
        REGISTER_AGAIN_MS,
        id -> {
          if (!decisions.view().registered() && !draining) {
            register();
          }
        });
  }

  private void heard(PeerFacts facts) {
    decisions.offer(new HostEvent.PeerHeard(facts.identity()));
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
        view.waiting(),
        view.open());
  }

  private void tellLeaving(HostIdentity endpoint) {
    EndpointStart start =
        EndpointStart.newBuilder()
            .setHost(endpoint.host())
            .setIncarnation(endpoint.incarnation())
            .build();
    PeerMessage news =
        PeerCodec.from(self).setLeavingNews(LeavingNews.newBuilder().addEndpoints(start)).build();
    members.peers().forEach(peer -> network.tell(peer.facts().address(), news));
  }

  /** What claims need from the log and the other daemons. */
  private final class ClaimNetwork implements DecisionDuty.Claims {
    @Override
    public CompletableFuture<Void> readLogToEnd() {
      return follower.readToEnd();
    }

    @Override
    public CompletableFuture<ClaimAnswer> ask(
        HostIdentity identity, HostAddress address, ClaimKey key) {
      ClaimRequest request = ClaimRequest.newBuilder().setKey(key.toString()).build();
      return network
          .ask(address, PeerCodec.from(self).setClaimRequest(request))
          .thenApply(
              reply ->
                  // Another incarnation at the same address knows nothing of what was asked.
                  PeerCodec.sender(reply).equals(identity)
                      ? PeerCodec.claimAnswer(reply.getClaimReply())
                      : ClaimAnswer.HELD);
    }
  }

  /** What this host holds that others may lack. */
  private final class Holdings implements PeerDuty.Holdings {
    @Override
    public SnapshotRecord snapshot() {
      return follower.snapshot();
    }

    @Override
    public void take(SnapshotRecord snapshot) {
      follower.fromPeer(snapshot);
    }

    @Override
    public void take(HostListing newer) {
      listed(newer);
    }

    @Override
    public byte[] loadDigest() {
      return watch.digest();
    }

    @Override
    public boolean needsNoPeer() {
      return follower.needsNoPeer();
    }
  }

  /**
   * Stops admitting and gives a future that completes when the last request has its answer and the
   * keys of calls that may not be repeated are handed over.
   */
  public CompletableFuture<Void> drain() {
    if (!draining) {
      draining = true;
      log.event(LogEvent.DRAIN_BEGAN, Integer.toString(decisions.view().open()), 0);
      offerSurely(new HostEvent.DrainOrdered());
      vertx.setPeriodic(DRAIN_LOOK_MS, this::lookIfDrained);
    }
    return drained;
  }

  private void lookIfDrained(long timer) {
    boolean settled = decisions.ring().size() == 0 && decisions.view().open() == 0;
    if (settled && vertx.cancelTimer(timer)) {
      offerSurely(new HostEvent.HandoverWanted(keys -> vertx.runOnContext(v -> retire(keys))));
    }
  }

  private void retire(List<org.fawndrum.coordination.once.OnceLedger.Inherited> keys) {
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
              log.event(LogEvent.DRAIN_ENDED, "no request was cut");
              drained.complete(null);
            });
  }

  /** Tells whether a planned stop has begun. */
  public boolean draining() {
    return draining;
  }

  /** Returns how the host stands. */
  public Status status() {
    return status.read(draining, drained.isDone());
  }

  /** Ends everything at once; requests in progress are cut. */
  public Future<Void> close() {
    watch.stop();
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
