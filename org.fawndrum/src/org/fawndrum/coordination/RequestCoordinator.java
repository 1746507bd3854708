// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.fawndrum.coordination.engine.EngineNews;
import org.fawndrum.coordination.membership.FleetReport;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.TableRevision;

/**
 * The decisions of one entry host over its requests: which run now, which wait, which are refused.
 * Takes events with their time and gives back actions. Confined to one thread; reads no clock.
 */
public final class RequestCoordinator {
  /** After how long a request that found no endpoint is offered again, in milliseconds. */
  private static final long OFFER_AGAIN_MS = 10;

  private final HostIdentity self;
  private final Policies policies;
  private final EndpointBook endpoints;
  private final WaitingRequests waiting;
  private final DrainRate drained = new DrainRate();
  private final Admission admission;
  private final GroupUsages usages = new GroupUsages();
  private final OpenRequests requests;
  private final DeadlineChecks checks = new DeadlineChecks();
  private final List<Action> out = new ArrayList<>();
  private final Explainer explainer = new Explainer(out);
  private final EngineWork work;
  private final AttemptStarts starts;
  private final AttemptEnds ends;
  private final SuspectRequests suspects;
  private final Arrivals arrivals;
  private final EndpointChoice choice;

  /**
   * Makes the coordinator of a host that has just started.
   *
   * @param self this incarnation
   * @param zone its availability zone
   * @param policies the exchangeable parts, owned by this coordinator
   */
  public RequestCoordinator(HostIdentity self, String zone, Policies policies) {
    this(self, zone, policies, new EndpointRests());
  }

  /** The same; the rests of endpoints are shared with what sends requests to them. */
  public RequestCoordinator(
      HostIdentity self, String zone, Policies policies, EndpointRests rests) {
    this.self = self;
    this.endpoints = new EndpointBook(rests);
    this.policies = policies;
    this.waiting = new WaitingRequests(policies.order(), policies.lengths());
    this.work = new EngineWork(self, endpoints, out);
    this.suspects = new SuspectRequests(self, endpoints, policies.hearsAll(), out);
    this.choice = new EndpointChoice(zone, endpoints, policies.placement(), suspects);
    this.starts = new AttemptStarts(self, work, drained, explainer, out);
    this.ends = new AttemptEnds(work, new RetryRule(policies), explainer, out);
    this.admission = new Admission(waiting, drained, endpoints, suspects, policies.refuseEarly());
    this.arrivals = new Arrivals(usages, policies.lengths(), suspects, admission);
    this.requests = new OpenRequests(waiting, usages, suspects, ends, explainer, out);
  }

  /** Takes over a newer table; an older one is passed over. */
  public List<Action> table(TableRevision newer, long nowMs) {
    arrivals.table(newer, nowMs);
    return flush(nowMs);
  }

  /** Takes over this host's part of the limits of the table, above 0 and at most 1. */
  public List<Action> limitPart(double newPart, long nowMs) {
    usages.limitPart(newPart, nowMs);
    return flush(nowMs);
  }

  /** Takes over the endpoints that may get new work. */
  public List<Action> endpoints(Collection<Endpoint> open, long nowMs) {
    endpoints.offer(open);
    return endpointRests(nowMs);
  }

  /** Takes note that some endpoint wants nothing from this host for a while. */
  public List<Action> endpointRests(long nowMs) {
    giveUpUnavailable(nowMs);
    return flush(nowMs);
  }

  /** Gives up what waits for endpoints of which none can take it in time any more. */
  private void giveUpUnavailable(long nowMs) {
    requests.giveUpWaiting(
        request -> admission.unavailable(request, nowMs), Reason.NO_ENDPOINT, nowMs);
  }

  /** Sends again what hangs on starts of endpoints that are over, where it may be. */
  public List<Action> restarted(Predicate<HostIdentity> over, long nowMs) {
    suspects.startsAreOver(over, nowMs);
    for (LiveRequest request : requests.all()) {
      LiveRequest.Attempt last = request.last();
      if (last != null && !last.state.ended() && work.hangsOn(last, over)) {
        if (over.test(last.endpoint.endpoint().identity())) {
          suspects.endpointRestarted(request, last, nowMs);
        }
        goOn(request, last, ends.restarted(request, last, nowMs), nowMs);
      }
    }
    return flush(nowMs);
  }

  /** Takes a load report of an endpoint. */
  public List<Action> load(HostIdentity endpoint, LoadReport report, long nowMs) {
    endpoints.ifKnown(endpoint, state -> state.reported(report, nowMs));
    return flush(nowMs);
  }

  /** Takes a load that a peer told; a late report of the endpoint itself goes before it. */
  public List<Action> loadTold(HostIdentity endpoint, LoadReport load, long nowMs) {
    endpoints.ifKnown(endpoint, state -> state.told(load, nowMs));
    return flush(nowMs);
  }

  /** Takes what other daemons tell about their work, and decides once for all of it. */
  public List<Action> told(List<FleetReport> reports, long nowMs) {
    reports.forEach(one -> work.heard(one.from(), one.news(), one.whole(), nowMs));
    return flush(nowMs);
  }

  /** Takes note that another daemon is gone, and its work with it. */
  public List<Action> daemonGone(HostIdentity daemon, long nowMs) {
    work.gone(daemon, nowMs);
    return flush(nowMs);
  }

  /** Returns all the work that this host has at endpoints, for other daemons. */
  public List<EngineNews> work() {
    return work.all();
  }

  /** Admits only what the window allows from now on; requests admitted go on to their end. */
  public void stop(StopWindow window) {
    arrivals.stop(window);
  }

  /** Ends every open request with a final answer that is true, because the host ends now. */
  public List<Action> giveUpAll(long nowMs) {
    arrivals.stop(StopWindow.CLOSED);
    for (LiveRequest request : requests.all()) {
      requests.giveUp(request, EndRules.hostEnds(request), Reason.DRAINING, nowMs);
    }
    return flush(nowMs);
  }

  /** Returns how many requests have no final answer yet. */
  public int open() {
    return requests.size();
  }

  /** Tells whether a request has no final answer yet. */
  public boolean isOpen(String requestId) {
    return requests.contains(requestId);
  }

  /** Returns how many requests wait for an endpoint. */
  public int waiting() {
    return waiting.size();
  }

  /** Returns when {@link #tick} has something to do next, or {@link Long#MAX_VALUE}. */
  public long nextCheckMs() {
    return Math.min(checks.nextMs(), suspects.dueMs());
  }

  /** Takes a request that has just arrived. */
  public List<Action> arrive(RequestFacts facts, long nowMs) {
    Arrivals.Verdict verdict = arrivals.decide(facts, nowMs);
    if (verdict.admitted().isEmpty()) {
      return refuseNew(facts, verdict.refusal(), verdict.why(), nowMs);
    }
    admit(verdict.admitted().get(), nowMs);
    return flush(nowMs);
  }

  private void admit(LiveRequest request, long nowMs) {
    requests.add(request);
    policies.retries().firstSend(request.facts.target(), nowMs);
    explainer.admitted(request.facts, nowMs);
    enqueue(request, nowMs);
    long earlyMs = policies.refuseEarly() ? admission.shortestServiceMs(request.facts) : 0;
    checks.add(request.deadlineMs - earlyMs, request.facts.requestId());
  }

  private void enqueue(LiveRequest request, long nowMs) {
    if (!suspects.holds(request, nowMs)) {
      offer(request, nowMs);
    }
  }

  /** Lets a request wait for an endpoint, unless none can take it in time. */
  private void offer(LiveRequest request, long nowMs) {
    Refusal unavailable = admission.unavailable(request, nowMs);
    if (unavailable != null) {
      requests.giveUp(request, unavailable, Reason.NO_ENDPOINT, nowMs);
      return;
    }
    request.offerAgainMs = 0;
    waiting.add(request);
    usages.waits(request, true);
  }

  /** Takes note that an attempt is refused because of one of its helpers, before it ends. */
  public List<Action> helperRefused(AttemptId id, HostIdentity helper, long nowMs) {
    LiveRequest request = requests.get(id.requestId());
    LiveRequest.Attempt attempt = own(request, id);
    if (attempt != null) {
      attempt.helperAtFault = helper;
      request.excluded.add(helper);
      work.failed(helper, nowMs);
    }
    return flush(nowMs);
  }

  /** Takes note that the endpoint of an attempt ended under it, before the attempt does. */
  public List<Action> endpointEnded(AttemptId id, long nowMs) {
    LiveRequest request = requests.get(id.requestId());
    LiveRequest.Attempt attempt = own(request, id);
    if (attempt != null) {
      suspects.endpointEnded(request, attempt, nowMs);
    }
    return flush(nowMs);
  }

  /** Takes news about requests under which endpoints end, or an operator's order on them. */
  public List<Action> suspects(Consumer<SuspectRequests> step, long nowMs) {
    step.accept(suspects);
    return flush(nowMs);
  }

  /** Returns what is known about requests under which endpoints end. */
  public SuspectRequests suspects() {
    return suspects;
  }

  private LiveRequest.Attempt own(LiveRequest request, AttemptId id) {
    return request == null || !id.owner().equals(self) ? null : request.attempt(id.number());
  }

  /** Takes note of what happened to an attempt. Events of ended requests change nothing. */
  public List<Action> attempt(AttemptId id, AttemptEvent event, long nowMs) {
    LiveRequest request = requests.get(id.requestId());
    LiveRequest.Attempt attempt = own(request, id);
    if (attempt == null || event == AttemptEvent.STALLED && attempt.state.ended()) {
      return flush(nowMs);
    }
    if (event == AttemptEvent.STALLED && admission.unavailable(request, nowMs) != null) {
      // Nobody could go on with it; its endpoint may still be writing.
      return flush(nowMs);
    }
    if (event == AttemptEvent.STALLED) {
      goOn(request, attempt, ends.stalled(request, attempt, nowMs), nowMs);
      return flush(nowMs);
    }
    if (event == AttemptEvent.ANSWERED && attempt.state.ended()) {
      // It came to its end before it could be cancelled.
      requests.abandonLast(request, nowMs);
      finish(request, attempt, nowMs);
      return flush(nowMs);
    }
    AttemptState before = attempt.state;
    attempt.state = AttemptStates.after(before, event);
    if (attempt.state == AttemptState.RUNNING) {
      starts.running(request, attempt, nowMs);
    }
    if (!before.ended() && attempt.state.ended()) {
      attempt.endpoint.ended(id);
      boolean lost = attempt.state != AttemptState.DONE && event == AttemptEvent.LOST;
      work.ended(attempt, lost, nowMs);
      suspects.attemptEnded(request, attempt, lost, nowMs);
      attemptEnded(request, attempt, event, nowMs);
    }
    return flush(nowMs);
  }

  private void attemptEnded(
      LiveRequest request, LiveRequest.Attempt attempt, AttemptEvent event, long nowMs) {
    if (attempt.state == AttemptState.DONE) {
      attempt.endpoint.answered();
      suspects.served(request, nowMs);
      finish(request, attempt, nowMs);
    } else {
      goOn(request, attempt, ends.failed(request, attempt, event, nowMs), nowMs);
    }
  }

  private void finish(LiveRequest request, LiveRequest.Attempt attempt, long nowMs) {
    explainer.attempt(request, attempt, DecisionKind.FINISHED, Reason.COMPLETE, nowMs);
    requests.end(request);
  }

  /** Sends a request again, or gives it up for a reason unless its attempt lasts. */
  private void goOn(LiveRequest request, LiveRequest.Attempt last, Reason whyNot, long nowMs) {
    if (last.state.ended() && suspects.refuses(request.facts, nowMs)) {
      requests.giveUp(request, EndRules.endsEndpoints(request), Reason.ENDS_ENDPOINTS, nowMs);
    } else if (whyNot == null) {
      enqueue(request, nowMs);
    } else if (last.state.ended()) {
      requests.giveUp(request, EndRules.afterFailure(request, last), whyNot, nowMs);
    }
  }

  /** Takes note that the caller closed its connection; what the request holds is freed. */
  public List<Action> callerGone(String requestId, long nowMs) {
    LiveRequest request = requests.get(requestId);
    if (request != null) {
      Refusal gone = Refusal.of(RefusalKind.CALLER_GONE, request.ran(), Refusal.NEVER);
      requests.giveUp(request, gone, Reason.CALLER_GONE, nowMs);
    }
    return flush(nowMs);
  }

  /** Gives up on what cannot end in time and sends what can be sent. */
  public List<Action> tick(long nowMs) {
    for (String due = checks.takeDue(nowMs); due != null; due = checks.takeDue(nowMs)) {
      LiveRequest request = requests.get(due);
      if (request != null) {
        checkDeadline(request, nowMs);
      }
    }
    return flush(nowMs);
  }

  private void checkDeadline(LiveRequest request, long nowMs) {
    if (nowMs >= request.deadlineMs) {
      giveUpAsLate(request, RefusalKind.DEADLINE_PASSED, nowMs);
    } else if (request.waiting && policies.refuseEarly()) {
      giveUpAsLate(request, RefusalKind.CANNOT_FINISH, nowMs);
    } else {
      checks.add(request.deadlineMs, request.facts.requestId());
    }
  }

  private void giveUpAsLate(LiveRequest request, RefusalKind kind, long nowMs) {
    requests.giveUp(request, admission.late(request, kind, nowMs), Reason.DEADLINE, nowMs);
  }

  /** Refuses a request that was not admitted, for a reason that was found elsewhere. */
  public List<Action> refuse(RequestFacts facts, Refusal refusal, long nowMs) {
    return refuseNew(facts, refusal, Reason.NOT_REPEATABLE, nowMs);
  }

  private List<Action> refuseNew(RequestFacts facts, Refusal refusal, Reason why, long nowMs) {
    explainer.refused(facts, refusal, why, nowMs);
    out.add(new Action.Refuse(facts.requestId(), refusal));
    return flush(nowMs);
  }

  private boolean trySend(LiveRequest request, long nowMs) {
    if (nowMs < request.offerAgainMs) {
      return false;
    }
    if (suspects.holdsAgain(request, nowMs)) {
      // It leaves the queue, and comes back with its turn.
      usages.waits(request, false);
      return true;
    }
    request.offerAgainMs = nowMs + OFFER_AGAIN_MS;
    int priority = waiting.shouldYield(request, nowMs) ? 0 : request.priority;
    Optional<Placement.Choice> chosen = choice.choose(request, priority, nowMs);
    if (chosen.isEmpty()) {
      explainer.waiting(request, nowMs);
      return false;
    }
    usages.waits(request, false);
    starts.begin(request, chosen.get(), priority, nowMs);
    return true;
  }

  /** Gives up what waits and is turned away from now on. */
  private void giveUpSuspects(long nowMs) {
    if (suspects.takeNewlyRefused()) {
      requests.giveUpWaiting(
          one -> suspects.refuses(one.facts, nowMs) ? EndRules.endsEndpoints(one) : null,
          Reason.ENDS_ENDPOINTS,
          nowMs);
    }
  }

  private List<Action> flush(long nowMs) {
    suspects.decide(nowMs, request -> offer(request, nowMs));
    giveUpSuspects(nowMs);
    waiting.dispatch(request -> trySend(request, nowMs));
    List<Action> actions = List.copyOf(out);
    out.clear();
    return actions;
  }
}
