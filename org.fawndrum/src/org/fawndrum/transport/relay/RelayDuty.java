// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.fawndrum.coordination.Action;
import org.fawndrum.coordination.Decision;
import org.fawndrum.coordination.EndpointEligibility;
import org.fawndrum.coordination.Refusal;
import org.fawndrum.coordination.RefusalKind;
import org.fawndrum.coordination.RequestCoordinator;
import org.fawndrum.coordination.crash.AnsweredRequest;
import org.fawndrum.coordination.crash.CrashFinding;
import org.fawndrum.coordination.crash.RejectedRequest;
import org.fawndrum.coordination.engine.EngineUpdate;
import org.fawndrum.coordination.membership.FleetReport;
import org.fawndrum.internal.duty.Duty;
import org.fawndrum.internal.duty.Ring;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;
import org.fawndrum.internal.log.LogRateLimiter;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.RouteTable;
import org.fawndrum.transport.Exchange;
import org.fawndrum.transport.HostClock;
import org.fawndrum.transport.OpenExchanges;

/**
 * The decision duty: the thread that decides about relayed requests. It passes events with their
 * time to the coordinator and executes the resulting actions. Its methods are thread-safe and do
 * not block.
 */
final class RelayDuty {
  private static final int RING_SIZE = 8_192;

  /** Maximum sleep of the thread when no work is due, in milliseconds. */
  private static final long MAX_IDLE_MS = 1_000;

  /** Interval at which waiting requests are offered for placement again, in milliseconds. */
  private static final long WAITING_POLL_MS = 10;

  /** Maximum log lines a second about suspected requests that are not rejected. */
  private static final int MAX_FINDING_LINES_PER_SECOND = 5;

  private final RequestCoordinator coordinator;
  private final EndpointEligibility eligibility = new EndpointEligibility();
  private final HostClock clock;
  private final Consumer<Action.BroadcastWork> updates;
  private final EndpointEventPublisher publisher;
  private final Consumer<Endpoint> incarnationProbe;
  private final HostLog log;
  private final OpenExchanges exchanges;
  private final Duty<RelayEvent> duty;
  private RouteTable routes = RouteTable.NONE;
  private final LogRateLimiter findingLimiter = new LogRateLimiter(MAX_FINDING_LINES_PER_SECOND);
  private boolean aborting;
  private volatile int openRequests;
  private volatile long crashSummary;
  private volatile List<RejectedRequest> crashingRequests = List.of();
  private volatile int drainingEndpoints;
  private volatile int refusedRequests;
  private volatile int abortedRequests;

  /**
   * Creates the duty, not started.
   *
   * @param decisions receives each decision; must not block
   * @param updates receives updates for other daemons; must not block
   * @param publisher sends crashes and shutdowns of endpoints to other daemons
   * @param incarnationProbe probes whether an incarnation of an endpoint is shutting down; must not
   *     block
   */
  RelayDuty(
      RequestCoordinator coordinator,
      HostClock clock,
      Consumer<Decision> decisions,
      Consumer<Action.BroadcastWork> updates,
      EndpointEventPublisher publisher,
      Consumer<Endpoint> incarnationProbe,
      HostLog log) {
    this.coordinator = coordinator;
    this.clock = clock;
    this.updates = updates;
    this.publisher = publisher;
    this.incarnationProbe = incarnationProbe;
    this.log = log;
    this.exchanges = new OpenExchanges(decisions);
    this.duty = new Duty<>("decisions", new Ring<>(RING_SIZE), this::handle, this::tick, log);
  }

  void start() {
    duty.start();
  }

  /** Returns the approximate number of requests without a final answer. */
  int openRequests() {
    return openRequests + duty.ring().size();
  }

  /** Returns the number of new requests that were refused because the host is draining. */
  int refusedRequests() {
    return refusedRequests;
  }

  /**
   * Returns the number of requests that were still open at the end of the drain and were aborted.
   */
  int abortedRequests() {
    return abortedRequests;
  }

  /** Returns a hash of the known crashes; it is equal on two hosts that know the same crashes. */
  long crashSummary() {
    return crashSummary;
  }

  /** Returns the requests that are rejected because endpoints crash while they have them. */
  List<RejectedRequest> crashingRequests() {
    return crashingRequests;
  }

  /**
   * Returns the number of listed endpoints that receive no new work because they are shutting down.
   */
  int drainingEndpoints() {
    return drainingEndpoints;
  }

  /** Returns the number of events in the duty's queue. */
  int queuedEvents() {
    return duty.ring().size();
  }

  /** Queues a new request with its exchange; returns false if the queue is full. */
  boolean offerRequest(RelayEvent.RequestArrived arrived, Exchange exchange) {
    String id = arrived.facts().requestId();
    exchanges.add(id, exchange);
    if (duty.offerNew(arrived)) {
      return true;
    }
    exchanges.remove(id);
    return false;
  }

  /** Queues an event about accepted work; returns false if the queue is full. */
  boolean offer(RelayEvent event) {
    return duty.offer(event);
  }

  private long tick() {
    long nowMs = clock.nowMs();
    carryOut(coordinator.tick(nowMs));
    publishState();
    long dueMs = Math.min(MAX_IDLE_MS, coordinator.nextCheckMs() - nowMs);
    return coordinator.waitingCount() > 0 ? Math.min(WAITING_POLL_MS, dueMs) : dueMs;
  }

  private void handle(RelayEvent event) {
    long nowMs = clock.nowMs();
    if (event instanceof RelayEvent.RequestEvent requestEvent) {
      handle(requestEvent, nowMs);
    } else if (event instanceof RelayEvent.PeerEvent peerEvent) {
      handle(peerEvent, nowMs);
    } else if (event instanceof RelayEvent.EndpointEvent endpointEvent) {
      handle(endpointEvent, nowMs);
    } else if (event instanceof RelayEvent.LifecycleEvent lifecycleEvent) {
      handle(lifecycleEvent, nowMs);
    }
    publishState();
  }

  /** Publishes the state of the coordinator to other threads. */
  private void publishState() {
    openRequests = coordinator.openCount();
    crashSummary = coordinator.suspectedRequests().digest();
    crashingRequests = coordinator.suspectedRequests().rejected();
  }

  private void handle(RelayEvent.RequestEvent event, long nowMs) {
    if (event instanceof RelayEvent.RequestArrived arrived) {
      carryOut(coordinator.arrive(arrived.facts(), nowMs));
    } else if (event instanceof RelayEvent.AttemptChanged changed) {
      carryOut(coordinator.attemptEvent(changed.attempt(), changed.event(), nowMs));
      if (!coordinator.isOpen(changed.attempt().requestId())) {
        exchanges.remove(changed.attempt().requestId());
      }
    } else if (event instanceof RelayEvent.EndpointCrashed crashed) {
      carryOut(coordinator.endpointTerminated(crashed.attempt(), nowMs));
    } else if (event instanceof RelayEvent.HelperRefused refused) {
      carryOut(coordinator.helperRefused(refused.attempt(), refused.helper(), nowMs));
    } else if (event instanceof RelayEvent.CallerGone gone) {
      carryOut(coordinator.callerGone(gone.requestId(), nowMs));
    } else if (event instanceof RelayEvent.RequestEnded ended) {
      carryOut(
          coordinator.giveUp(
              ended.requestId(),
              ended.kind(),
              ended.reason(),
              RelayIntake.OTHER_HOST_RETRY_MS,
              nowMs));
    }
  }

  private void handle(RelayEvent.PeerEvent event, long nowMs) {
    if (event instanceof RelayEvent.ReportsReceived reported) {
      detectRestarts(reported.reports(), nowMs);
      carryOut(coordinator.peerWorkReported(reported.reports(), nowMs));
    } else if (event instanceof RelayEvent.DaemonGone gone) {
      carryOut(coordinator.daemonRemoved(gone.daemon(), nowMs));
    } else if (event instanceof RelayEvent.PermitsGranted granted) {
      carryOut(coordinator.permitsGranted(granted.grants(), nowMs));
    } else if (event instanceof RelayEvent.WorkRequested requested) {
      requested.reply().accept(coordinator.ownWork());
    } else if (event instanceof RelayEvent.CrashesReceived reported) {
      mergeCrashes(reported.report(), nowMs);
    } else if (event instanceof RelayEvent.CrashesRequested requested) {
      publisher.sendAllCrashes(requested.daemon(), coordinator.suspectedRequests().allUpdates());
    }
  }

  /**
   * Merges the crashes that another daemon reported. If that daemon then knows fewer crashes than
   * this host, all crashes are sent.
   */
  private void mergeCrashes(PeerCrashReport reported, long nowMs) {
    carryOut(
        coordinator.suspectedRequests(
            suspects -> suspects.applyUpdate(reported.crashes(), nowMs), nowMs));
    if (reported.complete() && reported.summary() != coordinator.suspectedRequests().digest()) {
      publisher.publishCrashes(coordinator.suspectedRequests().allUpdates());
    }
  }

  /**
   * Detects restarts: work that a peer placed on a later incarnation shows that the endpoint
   * restarted.
   */
  private void detectRestarts(List<FleetReport> reports, long nowMs) {
    boolean restarted = false;
    for (FleetReport report : reports) {
      for (EngineUpdate update : report.updates()) {
        restarted |=
            update instanceof EngineUpdate.Placed placed
                && discoverRestart(placed.job().endpoint());
      }
    }
    if (restarted) {
      passEndpoints(nowMs);
    }
  }

  private boolean discoverRestart(HostIdentity incarnation) {
    boolean restarted = eligibility.incarnationReported(incarnation);
    if (restarted) {
      publisher.restartDiscovered(incarnation);
    }
    return restarted;
  }

  private void handle(RelayEvent.EndpointEvent event, long nowMs) {
    if (event instanceof RelayEvent.RoutesChanged changed) {
      routes = changed.routes();
      carryOut(coordinator.updateTable(changed.table(), nowMs));
      passEndpoints(nowMs);
    } else if (event instanceof RelayEvent.ListingChanged listed) {
      if (eligibility.updateListing(listed.listing())) {
        passEndpoints(nowMs);
      }
    } else if (event instanceof RelayEvent.EndpointsShuttingDown shutdowns) {
      shutdownsReported(shutdowns, nowMs);
    } else if (event instanceof RelayEvent.IncarnationProbed probed) {
      if (eligibility.markVerified(probed.incarnation())) {
        passEndpoints(nowMs);
      }
    } else if (event instanceof RelayEvent.DrainedZonesChanged) {
      carryOut(coordinator.drainedZonesChanged(nowMs));
    } else if (event instanceof RelayEvent.EndpointReachable reachable) {
      carryOut(coordinator.endpointReachable(reachable.endpoint(), nowMs));
    } else if (event instanceof RelayEvent.RestrictionsChanged) {
      carryOut(coordinator.restrictionsChanged(nowMs));
    } else if (event instanceof RelayEvent.EndpointRestarted restarted) {
      if (discoverRestart(restarted.incarnation())) {
        passEndpoints(nowMs);
      }
    }
  }

  /**
   * Stops placing work on endpoints that are shutting down. An endpoint's own notice is the first
   * sign of its shutdown, and the only one while the store accepts no writes; each daemon that
   * learns of it notifies the others once.
   */
  private void shutdownsReported(RelayEvent.EndpointsShuttingDown event, long nowMs) {
    List<HostIdentity> newlyReported =
        event.endpoints().stream().filter(eligibility::markDrainingFromAnswer).toList();
    if (!newlyReported.isEmpty()) {
      newlyReported.forEach(
          endpoint -> log.event(LogEvent.ENDPOINT_DRAINING, endpoint, event.by()));
      passEndpoints(nowMs);
      publisher.publishShutdowns(newlyReported);
    }
  }

  private void handle(RelayEvent.LifecycleEvent event, long nowMs) {
    if (event instanceof RelayEvent.RejectionCleared cleared) {
      log.event(LogEvent.REJECTION_CLEARED, cleared.fingerprint());
      carryOut(
          coordinator.suspectedRequests(
              suspects -> suspects.clearRejection(cleared.fingerprint(), nowMs), nowMs));
    } else if (event instanceof RelayEvent.StopSignaled signaled) {
      coordinator.beginShutdown(signaled.window());
    } else if (event instanceof RelayEvent.RoundPassing round) {
      round.onPassed().run();
    } else if (event instanceof RelayEvent.DrainEnding ending) {
      abortedRequests = coordinator.openCount();
      aborting = true;
      carryOut(coordinator.giveUpAll(nowMs));
      aborting = false;
      ending.onAborted().run();
    }
  }

  /** Passes the endpoints to the coordinator, with the profiles of their services. */
  private void passEndpoints(long nowMs) {
    List<Endpoint> endpoints =
        eligibility.eligible().stream().map(this::withProfile).flatMap(Optional::stream).toList();
    drainingEndpoints = eligibility.listedDrainingCount();
    eligibility.takeUnverified().forEach(this::probe);
    carryOut(coordinator.updateEndpoints(endpoints, nowMs));
    carryOut(coordinator.endpointsRestarted(eligibility::isSuperseded, nowMs));
  }

  private void probe(Endpoint endpoint) {
    log.event(LogEvent.INCARNATION_UNCERTAIN, endpoint.identity());
    incarnationProbe.accept(endpoint);
  }

  /**
   * Returns an endpoint with the profile of its service; empty if the configuration contains no
   * such service.
   */
  private Optional<Endpoint> withProfile(Endpoint endpoint) {
    return endpoint.serves().stream()
        .flatMap(name -> routes.service(name).stream())
        .findFirst()
        .map(endpoint::withProfile);
  }

  private void carryOut(List<Action> actions) {
    for (Action action : actions) {
      if (action instanceof Action.BroadcastWork work) {
        updates.accept(work);
      } else if (action instanceof Action.BroadcastCrashes crashes) {
        publisher.publishCrashes(crashes.update());
        crashes.update().rejected().forEach(this::logRejected);
        crashes.update().answered().forEach(this::logSound);
      } else if (action instanceof Action.DemandPermits wanted) {
        publisher.demandPermits(wanted.demands());
      }
    }
    coordinator.suspectedRequests().takeFindings().forEach(this::logFinding);
    exchanges.carryOut(actions, this::countRefusal, true);
  }

  private void logRejected(RejectedRequest rejected) {
    String endpoints = String.join(" ", rejected.endpoints());
    LogEvent event =
        rejected.request().isPart()
            ? LogEvent.PART_CRASHES_ENDPOINTS
            : LogEvent.REQUEST_CRASHES_ENDPOINTS;
    log.event(event, rejected.request(), endpoints);
  }

  private void logSound(AnsweredRequest answered) {
    long nowMs = clock.nowMs();
    if (answered.request().isPart() && findingLimiter.tryAcquire(nowMs)) {
      log.event(LogEvent.PART_SOUND, answered.request(), nowMs - answered.atMs());
    }
  }

  private void logFinding(CrashFinding finding) {
    if (findingLimiter.tryAcquire(clock.nowMs())) {
      log.event(LogEvent.REQUEST_NOT_REJECTED, finding.request(), finding.text());
    }
  }

  private void countRefusal(String requestId, Refusal refusal) {
    if (refusal.kind() == RefusalKind.DRAINING && !aborting) {
      refusedRequests = refusedRequests + 1;
    }
  }
}
