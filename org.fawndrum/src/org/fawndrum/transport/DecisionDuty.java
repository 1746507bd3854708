// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.fawndrum.coordination.Action;
import org.fawndrum.coordination.Decision;
import org.fawndrum.coordination.EndpointEligibility;
import org.fawndrum.coordination.LimitFractions;
import org.fawndrum.coordination.LoadReport;
import org.fawndrum.coordination.Ran;
import org.fawndrum.coordination.Refusal;
import org.fawndrum.coordination.RequestCoordinator;
import org.fawndrum.coordination.RequestFacts;
import org.fawndrum.coordination.ShutdownWindow;
import org.fawndrum.coordination.once.ClaimAnswer;
import org.fawndrum.coordination.once.ClaimKey;
import org.fawndrum.internal.duty.Duty;
import org.fawndrum.internal.duty.Ring;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.protocol.EngineMessages.Load;
import org.fawndrum.protocol.LoadDigest;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;

/**
 * The decision thread: passes events with their time to the {@link RequestCoordinator} and runs the
 * resulting actions on the event loops of the exchanges.
 */
final class DecisionDuty implements AutoCloseable {
  private static final long TICK_MS = 10;

  private final RequestCoordinator coordinator;
  private final HostIdentity self;
  private final String zone;
  private final EndpointEligibility eligibility = new EndpointEligibility();
  private final HostClock clock;
  private final Consumer<HostIdentity> drainingListener;
  private final ClaimHandler claims;
  private final Map<Integer, Endpoint> endpointsByNameHash = new HashMap<>();
  private final OpenExchanges exchanges;
  private final Duty<HostEvent> duty;
  private volatile View view = new View(0, 0, false, List.of(), List.of());

  /**
   * State published to other threads.
   *
   * @param openRequests the number of requests without a final answer
   * @param waitingRequests the number of requests waiting for an endpoint
   * @param registered whether this host serves requests that must not be repeated
   * @param eligibleEndpoints the endpoints that may receive new work
   * @param drainingEndpoints the endpoints that are shutting down
   */
  record View(
      int openRequests,
      int waitingRequests,
      boolean registered,
      List<Endpoint> eligibleEndpoints,
      List<HostIdentity> drainingEndpoints) {}

  /** Access to the log and the other daemons for claims. */
  interface ClaimTransport {
    /** Completes when the log is replayed to its current end; fails when it cannot be read. */
    CompletableFuture<Void> readLogToEnd();

    /** Requests the state of a key from another daemon; fails when it does not reply. */
    CompletableFuture<ClaimAnswer> requestClaim(
        HostIdentity identity, HostAddress address, ClaimKey key);
  }

  /** Connects the {@link ClaimHandler} with this thread. */
  private final class ClaimEnvironment implements ClaimHandler.Environment {
    private final ClaimTransport network;

    ClaimEnvironment(ClaimTransport network) {
      this.network = network;
    }

    @Override
    public CompletableFuture<Void> readLogToEnd() {
      return network.readLogToEnd();
    }

    @Override
    public CompletableFuture<ClaimAnswer> requestClaim(
        HostIdentity identity, HostAddress address, ClaimKey key) {
      return network.requestClaim(identity, address, key);
    }

    @Override
    public void enqueue(HostEvent event) {
      // If the ring is full the event is dropped; the claim then times out with outcome "unknown".
      offer(event);
    }

    @Override
    public long nowMs() {
      return clock.nowMs();
    }

    @Override
    public void admit(RequestFacts facts) {
      carryOut(coordinator.arrive(facts, clock.nowMs()));
    }

    @Override
    public void refuse(RequestFacts facts, Refusal refusal) {
      // The refusal also covers earlier copies of the call, which this exchange did not send.
      carryOut(coordinator.refuse(facts, refusal, clock.nowMs()), false);
    }
  }

  /**
   * Creates the duty; the thread runs once {@link #start} is called.
   *
   * @param feed receives each decision; must not block
   * @param drainingListener receives each endpoint that reports its shutdown; must not block
   */
  DecisionDuty(
      RequestCoordinator coordinator,
      HostIdentity self,
      String zone,
      ClaimTransport claims,
      HostClock clock,
      int ringEvents,
      Consumer<Decision> feed,
      Consumer<HostIdentity> drainingListener,
      HostLog log) {
    this.coordinator = coordinator;
    this.self = self;
    this.zone = zone;
    this.claims = new ClaimHandler(self, new ClaimEnvironment(claims));
    this.clock = clock;
    this.exchanges = new OpenExchanges(feed);
    this.drainingListener = drainingListener;
    this.duty =
        new Duty<>("decisions", new Ring<>(ringEvents), this::handle, this::tick, TICK_MS, log);
  }

  void start() {
    duty.start();
  }

  @Override
  public void close() {
    duty.close();
  }

  View view() {
    return view;
  }

  Ring<HostEvent> ring() {
    return duty.ring();
  }

  /** Queues a new request with its exchange; returns false when the ring is full. */
  boolean arrived(HostEvent.RequestArrived arrived, Exchange exchange) {
    String id = arrived.facts().requestId();
    exchanges.add(id, exchange);
    if (duty.offerNew(arrived)) {
      return true;
    }
    exchanges.remove(id);
    return false;
  }

  /** Queues an event of accepted work; returns false when the ring is full. */
  boolean offer(HostEvent event) {
    return duty.offer(event);
  }

  private void tick() {
    claims.tick(clock.nowMs());
    carryOut(coordinator.tick(clock.nowMs()));
    refreshView();
  }

  private void refreshView() {
    View before = view;
    int open = coordinator.openCount() + claims.pendingCount();
    boolean unchanged =
        before.openRequests() == open
            && before.waitingRequests() == coordinator.waitingCount()
            && before.registered() == claims.registered();
    if (!unchanged) {
      view =
          new View(
              open,
              coordinator.waitingCount(),
              claims.registered(),
              before.eligibleEndpoints(),
              before.drainingEndpoints());
    }
  }

  private void handle(HostEvent event) {
    long nowMs = clock.nowMs();
    if (event instanceof HostEvent.RequestArrived arrived) {
      arrived(arrived, nowMs);
    } else if (event instanceof HostEvent.AttemptUpdated attempted) {
      carryOut(coordinator.attemptEvent(attempted.attempt(), attempted.event(), nowMs));
      removeIfCompleted(attempted.attempt().requestId());
    } else if (event instanceof HostEvent.CallerDisconnected disconnected) {
      claims.callerGone(disconnected.requestId());
      carryOut(coordinator.callerGone(disconnected.requestId(), nowMs));
    } else if (event instanceof HostEvent.TableChanged changed) {
      carryOut(coordinator.updateTable(changed.table(), nowMs));
    } else if (event instanceof HostEvent.HostsListed listed) {
      hostsListed(listed, nowMs);
    } else if (event instanceof HostEvent.LoadReported reported) {
      loadReported(reported, nowMs);
    } else if (event instanceof HostEvent.PeerLoadsReported report) {
      report.loads().forEach(entry -> peerLoadReported(entry, nowMs));
    } else if (event instanceof HostEvent.EndpointDraining draining) {
      if (eligibility.markDraining(draining.endpoint())) {
        updateEndpoints(nowMs);
      }
    } else if (event instanceof HostEvent.DrainRequested) {
      coordinator.beginShutdown(ShutdownWindow.CLOSED);
    } else {
      handleClaim(event, nowMs);
    }
    refreshView();
  }

  private void handleClaim(HostEvent event, long nowMs) {
    if (event instanceof HostEvent.HostRegistered registered) {
      claims.registered(registered.registration(), nowMs);
    } else if (event instanceof HostEvent.PeerSeen seen) {
      claims.peerSeen(seen.identity());
    } else if (event instanceof HostEvent.PeerLost lost) {
      claims.peerLost(lost.identity(), nowMs);
    } else if (event instanceof HostEvent.LogReadForClaim read) {
      claims.logRead(read.requestId(), nowMs);
    } else if (event instanceof HostEvent.ClaimAnswered answered) {
      claims.claimAnswered(answered, nowMs);
    } else if (event instanceof HostEvent.ClaimRequested requested) {
      claims.claimRequested(requested, nowMs);
    } else if (event instanceof HostEvent.ClaimsHandedOver handedOver) {
      claims.inherit(handedOver.claims());
      handedOver.acknowledge().run();
    } else if (event instanceof HostEvent.HandoverRequested requested) {
      requested.reply().accept(claims.handover());
    }
  }

  private void arrived(HostEvent.RequestArrived arrived, long nowMs) {
    if (arrived.claim() == null) {
      carryOut(coordinator.arrive(arrived.facts(), nowMs));
    } else {
      claims.arrived(arrived.facts(), arrived.claim(), nowMs);
    }
  }

  private void removeIfCompleted(String requestId) {
    if (!coordinator.isOpen(requestId)) {
      exchanges.remove(requestId);
      claims.requestCompleted(requestId, Ran.YES, clock.nowMs());
    }
  }

  private void hostsListed(HostEvent.HostsListed listed, long nowMs) {
    if (eligibility.updateListing(listed.listing())) {
      carryOut(
          coordinator.updateLimitFraction(
              LimitFractions.fraction(self, zone, listed.listing()), nowMs));
      updateEndpoints(nowMs);
    }
  }

  private void loadReported(HostEvent.LoadReported reported, long nowMs) {
    Load load = reported.load();
    HostIdentity identity = new HostIdentity(load.host(), load.incarnation());
    boolean changed = eligibility.incarnationAnswered(identity);
    if (load.leaving() && eligibility.markDraining(identity)) {
      drainingListener.accept(identity);
      changed = true;
    }
    if (changed) {
      updateEndpoints(nowMs);
    }
    carryOut(coordinator.loadReported(identity, load.report(), nowMs));
  }

  private void peerLoadReported(LoadDigest.Entry entry, long nowMs) {
    Endpoint endpoint = endpointsByNameHash.get(entry.nameHash());
    if (endpoint == null) {
      return;
    }
    LoadReport load =
        new LoadReport(
            0,
            entry.load().backlogTokens(),
            (long) (entry.freeFraction() * endpoint.memoryTokens()),
            0,
            entry.load().tokensPerSecond());
    carryOut(coordinator.peerLoadReported(endpoint.identity(), load, nowMs));
  }

  private void updateEndpoints(long nowMs) {
    List<Endpoint> eligible = eligibility.eligible();
    endpointsByNameHash.clear();
    eligible.forEach(
        endpoint -> endpointsByNameHash.put(LoadDigest.nameHash(endpoint.name()), endpoint));
    carryOut(coordinator.updateEndpoints(eligible, nowMs));
    carryOut(coordinator.endpointsRestarted(eligibility::isSuperseded, nowMs));
    view =
        new View(
            coordinator.openCount() + claims.pendingCount(),
            coordinator.waitingCount(),
            claims.registered(),
            eligible,
            List.copyOf(eligibility.draining()));
  }

  private void carryOut(List<Action> actions) {
    carryOut(actions, true);
  }

  private void carryOut(List<Action> actions, boolean unsentProvesNotRun) {
    exchanges.carryOut(
        actions,
        (requestId, refusal) -> claims.requestCompleted(requestId, refusal.ran(), clock.nowMs()),
        unsentProvesNotRun);
  }
}
