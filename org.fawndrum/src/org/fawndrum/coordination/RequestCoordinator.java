// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.fawndrum.coordination.engine.EngineUpdate;
import org.fawndrum.coordination.limit.EndpointPermits;
import org.fawndrum.coordination.limit.PermitDemand;
import org.fawndrum.coordination.limit.PermitGrant;
import org.fawndrum.coordination.membership.FleetReport;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.TableRevision;

/**
 * Decides on the requests of one entry host: which run now, which wait and which are refused. Turns
 * timestamped events into actions. Confined to one thread; does not read a clock.
 */
public final class RequestCoordinator {
  private final HostIdentity self;
  private final Policies policies;
  private final EndpointRegistry registry;
  private final WaitingRequests queue;
  private final DispatchRate rate = new DispatchRate();
  private final Admission admission;
  private final GroupUsages usages = new GroupUsages();
  private final OpenRequests requests;
  private final DeadlineChecks checks = new DeadlineChecks();
  private final List<Action> pending = new ArrayList<>();
  private final DecisionRecorder recorder = new DecisionRecorder(pending);
  private final EngineWork engineWork;
  private final AttemptDispatcher dispatcher;
  private final AttemptFailures failures;
  private final SuspectedRequests suspected;
  private final ArrivalHandler arrivals;
  private final EndpointPermits permits;
  private final RequestOffers offers;

  /**
   * Creates the coordinator of a host that has just started.
   *
   * @param self this incarnation
   * @param zone its availability zone
   * @param policies the policies, owned by this coordinator
   */
  public RequestCoordinator(HostIdentity self, String zone, Policies policies) {
    this(self, zone, policies, new EndpointRestrictions());
  }

  /** Creates a coordinator that shares the restrictions of endpoints with the sending layer. */
  public RequestCoordinator(
      HostIdentity self, String zone, Policies policies, EndpointRestrictions restrictions) {
    this.self = self;
    this.permits = new EndpointPermits(restrictions.rates());
    this.registry =
        new EndpointRegistry(restrictions.backoffs(), permits, restrictions.drainedZones());
    this.policies = policies;
    this.queue = new WaitingRequests(policies.order(), policies.lengthClassifier());
    this.engineWork = new EngineWork(self, registry, pending);
    this.suspected = new SuspectedRequests(self, registry, policies.allHostsReporting(), pending);
    this.dispatcher = new AttemptDispatcher(self, engineWork, permits, rate, recorder, pending);
    this.failures = new AttemptFailures(engineWork, new RetryRule(policies), recorder, pending);
    this.admission =
        new Admission(queue, rate, registry, suspected, permits, policies.refuseEarly());
    this.arrivals = new ArrivalHandler(usages, policies.lengthClassifier(), suspected, admission);
    this.requests = new OpenRequests(queue, usages, suspected, failures, recorder, pending);
    EndpointSelector selector =
        new EndpointSelector(zone, registry, policies.placement(), suspected, permits);
    this.offers =
        new RequestOffers(
            requests, queue, usages, suspected, admission, selector, dispatcher, recorder);
  }

  /** Replaces the table if the given one is newer. */
  public List<Action> updateTable(TableRevision newer, long nowMs) {
    arrivals.updateTable(newer, nowMs);
    return flush(nowMs);
  }

  /** Applies this host's fraction of the table's limits, above 0 and at most 1. */
  public List<Action> updateLimitFraction(double newFraction, long nowMs) {
    usages.updateLimitFraction(newFraction, nowMs);
    return flush(nowMs);
  }

  /** Replaces the set of endpoints eligible for new work. */
  public List<Action> updateEndpoints(Collection<Endpoint> eligible, long nowMs) {
    registry.update(eligible);
    return restrictionsChanged(nowMs);
  }

  /** Called when zones were drained or taken back. */
  public List<Action> drainedZonesChanged(long nowMs) {
    registry.zonesChanged();
    return restrictionsChanged(nowMs);
  }

  /** Called when a backoff or a rate of an endpoint has changed. */
  public List<Action> restrictionsChanged(long nowMs) {
    offers.giveUpUnavailable(nowMs);
    return flush(nowMs);
  }

  /** Applies answers to demands for permits. */
  public List<Action> permitsGranted(List<PermitGrant> grants, long nowMs) {
    grants.forEach(grant -> permits.granted(grant, nowMs));
    offers.giveUpUnavailable(nowMs);
    return flush(nowMs);
  }

  /** Returns the permits of this host; only their counts may be read by other threads. */
  public EndpointPermits permits() {
    return permits;
  }

  /** Ends attempts that depend on superseded incarnations, and retries where allowed. */
  public List<Action> endpointsRestarted(Predicate<HostIdentity> ended, long nowMs) {
    suspected.incarnationsSuperseded(ended, nowMs);
    for (OpenRequest request : requests.all()) {
      OpenRequest.Attempt last = request.lastAttempt();
      if (last != null && !last.state.ended() && engineWork.dependsOn(last, ended)) {
        if (ended.test(last.endpoint.endpoint().identity())) {
          suspected.endpointRestarted(request, last, nowMs);
        }
        followUp(request, last, failures.endpointRestarted(request, last, nowMs), nowMs);
      }
    }
    return flush(nowMs);
  }

  /**
   * Ends the failure backoff of an endpoint to which a way was found: the failures were those of
   * this host's link.
   */
  public List<Action> endpointReachable(HostIdentity endpoint, long nowMs) {
    registry.ifPresent(endpoint, EndpointState::recordSuccess);
    return flush(nowMs);
  }

  /** Applies a load report of an endpoint. */
  public List<Action> loadReported(HostIdentity endpoint, LoadReport report, long nowMs) {
    registry.ifPresent(endpoint, state -> state.loadReported(report, nowMs));
    return flush(nowMs);
  }

  /** Applies a load reported by a peer; a recent report of the endpoint itself takes precedence. */
  public List<Action> peerLoadReported(HostIdentity endpoint, LoadReport load, long nowMs) {
    registry.ifPresent(endpoint, state -> state.peerLoadReported(load, nowMs));
    return flush(nowMs);
  }

  /** Applies reports of other daemons about their work, then decides once for all of them. */
  public List<Action> peerWorkReported(List<FleetReport> reports, long nowMs) {
    reports.forEach(r -> engineWork.applyUpdate(r.from(), r.updates(), r.complete(), nowMs));
    return flush(nowMs);
  }

  /** Records that another daemon is gone and removes its work. */
  public List<Action> daemonRemoved(HostIdentity daemon, long nowMs) {
    engineWork.daemonRemoved(daemon, nowMs);
    return flush(nowMs);
  }

  /** Returns all work of this host at endpoints, for other daemons. */
  public List<EngineUpdate> ownWork() {
    return engineWork.allUpdates();
  }

  /** Limits admission to the given window. Admitted requests continue. */
  public void beginShutdown(ShutdownWindow window) {
    arrivals.setShutdownWindow(window);
  }

  /** Refuses all open requests with an accurate final answer, because the host shuts down now. */
  public List<Action> giveUpAll(long nowMs) {
    arrivals.setShutdownWindow(ShutdownWindow.CLOSED);
    for (OpenRequest request : requests.all()) {
      requests.giveUp(request, RefusalRules.hostShutdown(request), Reason.DRAINING, nowMs);
    }
    return flush(nowMs);
  }

  /** Returns the number of requests without a final answer. */
  public int openCount() {
    return requests.size();
  }

  /** Whether a request has no final answer yet. */
  public boolean isOpen(String requestId) {
    return requests.contains(requestId);
  }

  /** Returns the number of requests waiting for an endpoint. */
  public int waitingCount() {
    return queue.size();
  }

  /** Returns when {@link #tick} is next due, or {@link Long#MAX_VALUE} if it is not. */
  public long nextCheckMs() {
    return Math.min(checks.nextDueMs(), suspected.dueMs());
  }

  /** Handles a request that has just arrived. */
  public List<Action> arrive(RequestFacts facts, long nowMs) {
    ArrivalHandler.Verdict verdict = arrivals.decide(facts, nowMs);
    if (verdict.admitted().isEmpty()) {
      return refuseNew(facts, verdict.refusal(), verdict.reason(), nowMs);
    }
    admit(verdict.admitted().get(), nowMs);
    return flush(nowMs);
  }

  private void admit(OpenRequest request, long nowMs) {
    requests.add(request);
    policies.retries().recordFirstSend(request.facts.target(), nowMs);
    recorder.admitted(request.facts, nowMs);
    offers.enqueue(request, nowMs);
    long earlyMs = policies.refuseEarly() ? admission.shortestServiceMs(request.facts) : 0;
    checks.add(request.deadlineMs - earlyMs, request.facts.requestId());
  }

  /** Records that a helper engine refused an attempt. Called before the attempt's own event. */
  public List<Action> helperRefused(AttemptId id, HostIdentity helper, long nowMs) {
    OpenRequest request = requests.get(id.requestId());
    OpenRequest.Attempt attempt = ownAttempt(request, id);
    if (attempt != null) {
      attempt.failedHelper = helper;
      request.excludedEndpoints.add(helper);
      engineWork.endpointFailed(helper, nowMs);
    }
    return flush(nowMs);
  }

  /** Records that the endpoint of an attempt terminated. Called before the attempt's own event. */
  public List<Action> endpointTerminated(AttemptId id, long nowMs) {
    OpenRequest request = requests.get(id.requestId());
    OpenRequest.Attempt attempt = ownAttempt(request, id);
    if (attempt != null) {
      suspected.endpointTerminated(request, attempt, nowMs);
    }
    return flush(nowMs);
  }

  /** Applies crash updates or an operator's order to the suspected requests. */
  public List<Action> suspectedRequests(Consumer<SuspectedRequests> step, long nowMs) {
    step.accept(suspected);
    return flush(nowMs);
  }

  /** Returns the suspected requests. */
  public SuspectedRequests suspectedRequests() {
    return suspected;
  }

  private OpenRequest.Attempt ownAttempt(OpenRequest request, AttemptId id) {
    return request == null || !id.owner().equals(self) ? null : request.attempt(id.number());
  }

  /** Handles an event of an attempt. Events of completed requests have no effect. */
  public List<Action> attemptEvent(AttemptId id, AttemptEvent event, long nowMs) {
    OpenRequest request = requests.get(id.requestId());
    OpenRequest.Attempt attempt = ownAttempt(request, id);
    if (attempt == null || event == AttemptEvent.STALLED && attempt.state.ended()) {
      return flush(nowMs);
    }
    if (event == AttemptEvent.ALIVE) {
      suspected.endpointAlive(request, attempt);
      return flush(nowMs);
    }
    if (event == AttemptEvent.STALLED && offers.checkAvailability(request, nowMs) != null) {
      // No endpoint could take over, and this one may still be generating.
      return flush(nowMs);
    }
    if (event == AttemptEvent.STALLED) {
      followUp(request, attempt, failures.stalled(request, attempt, nowMs), nowMs);
      return flush(nowMs);
    }
    if (event == AttemptEvent.ANSWERED && attempt.state.ended()) {
      // It completed before it could be cancelled.
      requests.abandonLastAttempt(request, nowMs);
      finish(request, attempt, nowMs);
      return flush(nowMs);
    }
    AttemptState before = attempt.state;
    attempt.state = AttemptTransitions.next(before, event);
    if (attempt.state == AttemptState.RUNNING) {
      dispatcher.answerStarted(request, attempt, nowMs);
      suspected.answerBegan(request, attempt);
    }
    if (!before.ended() && attempt.state.ended()) {
      attempt.endpoint.attemptEnded(id);
      boolean isLost = attempt.state != AttemptState.DONE && event == AttemptEvent.LOST;
      engineWork.attemptEnded(attempt, isLost, nowMs);
      suspected.attemptEnded(request, attempt, isLost, nowMs);
      attemptEnded(request, attempt, event, nowMs);
    }
    return flush(nowMs);
  }

  private void attemptEnded(
      OpenRequest request, OpenRequest.Attempt attempt, AttemptEvent event, long nowMs) {
    if (attempt.state == AttemptState.DONE) {
      attempt.endpoint.recordSuccess();
      suspected.requestAnswered(request, attempt, nowMs);
      finish(request, attempt, nowMs);
    } else {
      followUp(request, attempt, failures.failed(request, attempt, event, nowMs), nowMs);
    }
  }

  private void finish(OpenRequest request, OpenRequest.Attempt attempt, long nowMs) {
    recorder.attempt(request, attempt, DecisionKind.FINISHED, Reason.COMPLETE, nowMs);
    requests.remove(request);
  }

  /** Retries a request if there is no reason against it; else gives it up if its attempt ended. */
  private void followUp(OpenRequest request, OpenRequest.Attempt last, Reason reason, long nowMs) {
    if (last.state.ended() && suspected.rejects(request.facts, nowMs)) {
      requests.giveUp(request, RefusalRules.rejected(request), Reason.ENDS_ENDPOINTS, nowMs);
    } else if (reason == null) {
      offers.enqueue(request, nowMs);
    } else if (last.state.ended()) {
      requests.giveUp(request, RefusalRules.afterFailure(request, last, reason), reason, nowMs);
    }
  }

  /** Gives up a request whose caller closed the connection, and releases what it holds. */
  public List<Action> callerGone(String requestId, long nowMs) {
    return giveUp(requestId, RefusalKind.CALLER_GONE, Reason.CALLER_GONE, Refusal.NEVER, nowMs);
  }

  /**
   * Gives up a request for a reason determined elsewhere, and releases what it holds. No endpoint
   * is at fault.
   *
   * @param retryAfterMs the delay after which a retry makes sense if the request did not run
   */
  public List<Action> giveUp(
      String requestId, RefusalKind kind, Reason reason, long retryAfterMs, long nowMs) {
    OpenRequest request = requests.get(requestId);
    if (request != null) {
      Ran ran = request.ran();
      Refusal refusal = Refusal.of(kind, ran, ran == Ran.NO ? retryAfterMs : Refusal.NEVER);
      requests.giveUp(request, refusal, reason, nowMs);
    }
    return flush(nowMs);
  }

  /** Gives up requests that cannot finish in time and sends those that can be sent. */
  public List<Action> tick(long nowMs) {
    for (String due = checks.pollDue(nowMs); due != null; due = checks.pollDue(nowMs)) {
      OpenRequest request = requests.get(due);
      if (request != null && !offers.giveUpIfLate(request, policies.refuseEarly(), nowMs)) {
        checks.add(request.deadlineMs, due);
      }
    }
    return flush(nowMs);
  }

  /** Refuses a request that was not admitted, for a reason determined elsewhere. */
  public List<Action> refuse(RequestFacts facts, Refusal refusal, long nowMs) {
    return refuseNew(facts, refusal, Reason.NOT_REPEATABLE, nowMs);
  }

  private List<Action> refuseNew(RequestFacts facts, Refusal refusal, Reason reason, long nowMs) {
    recorder.refused(facts, refusal, reason, nowMs);
    pending.add(new Action.Refuse(facts.requestId(), refusal));
    return flush(nowMs);
  }

  private void giveUpRejected(long nowMs) {
    if (suspected.takeHasNewRejections()) {
      requests.giveUpWaiting(
          r -> suspected.rejects(r.facts, nowMs) ? RefusalRules.rejected(r) : null,
          Reason.ENDS_ENDPOINTS,
          nowMs);
    }
  }

  private List<Action> flush(long nowMs) {
    suspected.decide(nowMs, request -> offers.offer(request, nowMs));
    giveUpRejected(nowMs);
    offers.dispatch(nowMs);
    List<PermitDemand> demands = permits.takeDemands(nowMs);
    if (!demands.isEmpty()) {
      pending.add(new Action.DemandPermits(demands));
    }
    List<Action> actions = List.copyOf(pending);
    pending.clear();
    return actions;
  }
}
