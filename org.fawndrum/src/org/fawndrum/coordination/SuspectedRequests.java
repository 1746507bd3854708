// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.fawndrum.coordination.crash.CrashFinding;
import org.fawndrum.coordination.crash.CrashRegistry;
import org.fawndrum.coordination.crash.CrashUpdate;
import org.fawndrum.coordination.crash.CrashVerdict;
import org.fawndrum.coordination.crash.EndpointCrash;
import org.fawndrum.coordination.crash.RejectedRequest;
import org.fawndrum.coordination.crash.RequestContent;
import org.fawndrum.state.HostIdentity;

/**
 * Keeps requests that crash endpoints from being sent. The evidence outlives a request's attempts,
 * and hosts exchange it. Confined to the coordinator's thread; times are those of the host's clock,
 * in milliseconds.
 */
public final class SuspectedRequests {
  /** Interval at which held requests are checked, in milliseconds. */
  private static final long RECHECK_INTERVAL_MS = 20;

  private final CrashRegistry crashRegistry;
  private final List<OpenRequest> heldRequests = new ArrayList<>();
  private final LostAttempts lostAttempts = new LostAttempts();
  private final SoundParts soundParts = new SoundParts();
  private final EndpointRegistry endpoints;
  private final BooleanSupplier allHostsReporting;
  private final List<Action> actions;
  private boolean hasNewRejections;
  private long nextRecheckMs = Long.MAX_VALUE;

  SuspectedRequests(
      HostIdentity self,
      EndpointRegistry endpoints,
      BooleanSupplier allHostsReporting,
      List<Action> actions) {
    this.crashRegistry = new CrashRegistry(self);
    this.endpoints = endpoints;
    this.allHostsReporting = allHostsReporting;
    this.actions = actions;
  }

  /** Whether a request is rejected. */
  boolean rejects(RequestFacts facts, long nowMs) {
    return crashRegistry.verdict(facts.content(), nowMs) == CrashVerdict.REJECTED;
  }

  /**
   * Holds a request that must not be sent yet, because its crashes have not settled or another copy
   * has the execution lease. Returns whether it is held.
   */
  boolean holdIfRequired(OpenRequest request, long nowMs) {
    releaseLease(request);
    return !mayProceed(request, nowMs) && hold(request, nowMs);
  }

  /**
   * Repeats the check for a request that an endpoint could take now: the evidence may have changed
   * while it waited, or its execution lease may have expired.
   */
  boolean recheckBeforeDispatch(OpenRequest request, long nowMs) {
    RequestContent content = request.facts.content();
    boolean hasLease = request.lease != null && crashRegistry.isLeaseValid(request.lease, nowMs);
    return !hasLease && crashRegistry.needsLease(content) && holdIfRequired(request, nowMs);
  }

  private boolean hold(OpenRequest request, long nowMs) {
    nextRecheckMs = Math.min(nextRecheckMs, nowMs + RECHECK_INTERVAL_MS);
    return heldRequests.add(request);
  }

  /**
   * Whether a request need not be held: it is rejected, or it may be sent now. Acquires the
   * execution lease in the latter case if one is needed.
   */
  private boolean mayProceed(OpenRequest request, long nowMs) {
    RequestContent content = request.facts.content();
    CrashVerdict verdict = crashRegistry.verdict(content, nowMs);
    hasNewRejections |= verdict == CrashVerdict.REJECTED;
    if (verdict != CrashVerdict.ALLOWED || !crashRegistry.needsLease(content)) {
      return verdict != CrashVerdict.DELAYED;
    }
    publish(crashRegistry.requestLease(content, nowMs));
    request.lease = crashRegistry.acquireLease(content, nowMs).orElse(null);
    return request.lease != null;
  }

  /**
   * Returns the refusal of a request that is quarantined past its deadline, or null. The retry
   * delay ends when a copy may run again.
   */
  Refusal quarantinedTooLong(OpenRequest request, long nowMs) {
    long untilMs = crashRegistry.quarantinedUntilMs(request.facts.content());
    return untilMs > request.deadlineMs
        ? RefusalRules.unavailable(request, RefusalKind.QUARANTINED, untilMs - nowMs)
        : null;
  }

  private void releaseLease(OpenRequest request) {
    if (request.lease == null) {
      return;
    }
    OpenRequest.Attempt last = request.lastAttempt();
    boolean sentUnderLease = last != null && last.sentMs >= request.lease.atMs();
    // A proved crash counts by itself against a request, but not against the part that it tried.
    boolean crashCounts =
        sentUnderLease && last.terminationSeen && !request.lease.request().isPart();
    boolean ranUnanswered = sentUnderLease && !crashCounts && last.mayHaveRunUnanswered();
    if (ranUnanswered) {
      publish(crashRegistry.recordInconclusiveRun(request.lease));
    } else {
      crashRegistry.releaseLease(request.lease);
    }
    request.lease = null;
  }

  /**
   * Returns the candidates at which a request shares no endpoint with another suspected request.
   */
  List<EndpointState> isolatedEndpoints(OpenRequest request, List<EndpointState> candidates) {
    RequestContent content = request.facts.content();
    if (!crashRegistry.isIsolated(content)) {
      return candidates;
    }
    return candidates.stream()
        .filter(state -> crashRegistry.mayRunAt(content, state.endpoint().identity()))
        .toList();
  }

  /** Drops a request that has its final answer. */
  void requestRemoved(OpenRequest request) {
    heldRequests.remove(request);
    releaseLease(request);
  }

  /**
   * Records that the endpoint of an attempt terminated while it ran. The termination of a draining
   * endpoint was planned and is no evidence.
   */
  void endpointTerminated(OpenRequest request, OpenRequest.Attempt attempt, long nowMs) {
    HostIdentity endpoint = attempt.endpoint.endpoint().identity();
    endpoints.terminated(endpoint, nowMs);
    if (endpoints.isInService(endpoint)) {
      attempt.terminationSeen = true;
      recordCrash(lostAttempt(request, attempt, nowMs));
      lostAttempts.takeTerminatedWith(endpoint, nowMs).forEach(this::recordCrash);
    }
  }

  /** Records the failure of an attempt. The cause of a broken connection may become known later. */
  void attemptEnded(OpenRequest request, OpenRequest.Attempt attempt, boolean isLost, long nowMs) {
    boolean unexplained = isLost && !attempt.terminationSeen;
    if (unexplained && endpoints.isInService(attempt.endpoint.endpoint().identity())) {
      lostAttempts.add(lostAttempt(request, attempt, nowMs));
    }
  }

  /** Records that the endpoint of an attempt restarted and lost the request. */
  void endpointRestarted(OpenRequest request, OpenRequest.Attempt attempt, long nowMs) {
    attempt.terminationSeen = true;
    recordCrash(lostAttempt(request, attempt, nowMs));
  }

  /**
   * Records superseded incarnations: connections that broke recently are attributed to their
   * termination.
   */
  void incarnationsSuperseded(Predicate<HostIdentity> superseded, long nowMs) {
    lostAttempts.takeSuperseded(superseded, nowMs).forEach(this::recordSuperseded);
  }

  private void recordSuperseded(LostAttempts.LostAttempt attempt) {
    attempt.asCrash().ifPresent(crash -> publish(crashRegistry.recordIncarnationEnd(crash)));
  }

  private static LostAttempts.LostAttempt lostAttempt(
      OpenRequest request, OpenRequest.Attempt attempt, long nowMs) {
    HostIdentity endpoint = attempt.endpoint.endpoint().identity();
    boolean answering =
        !attempt.isDoubtful && attempt.wasAnsweringAt(nowMs - SoundParts.SOUND_AFTER_MS);
    return new LostAttempts.LostAttempt(
        request.facts.content(), endpoint, attempt.sentMs, nowMs, answering);
  }

  private void recordCrash(LostAttempts.LostAttempt attempt) {
    attempt.asCrash().ifPresent(crash -> publish(crashRegistry.recordCrash(crash, attempt.atMs())));
  }

  /** Asks the endpoint of an answer that has begun whether it goes on. */
  private void askEndpoint(OpenRequest.Attempt attempt) {
    attempt.isDoubtful = true;
    actions.add(new Action.AskEndpoint(attempt.id));
  }

  /** Records that the endpoint of an answer goes on: the parts of the prompt are sound. */
  void endpointAlive(OpenRequest request, OpenRequest.Attempt attempt) {
    if (!attempt.state.ended()) {
      attempt.isDoubtful = false;
      recordSound(request, attempt);
    }
  }

  /** Records that an answer began. If its endpoint goes on, the parts of the prompt are sound. */
  void answerBegan(OpenRequest request, OpenRequest.Attempt attempt) {
    if (crashRegistry.hasSuspectedPart(request.facts.content())) {
      soundParts.watch(request, attempt);
    }
  }

  /** Records that an endpoint completed a request and survived. */
  void requestAnswered(OpenRequest request, OpenRequest.Attempt attempt, long nowMs) {
    publish(crashRegistry.recordAnswer(request.facts.content(), nowMs));
    attempt.answerArrived(nowMs);
    recordSound(request, attempt);
  }

  private void recordSound(OpenRequest request, OpenRequest.Attempt attempt) {
    publish(crashRegistry.recordSoundParts(request.facts.content(), attempt.answeringSinceMs));
  }

  /** Applies an update from another host. */
  public void applyUpdate(CrashUpdate update, long nowMs) {
    publish(crashRegistry.merge(update, nowMs));
    for (EndpointCrash crash : update.crashes()) {
      lostAttempts.takeTerminatedWith(crash.endpoint(), crash.atMs()).forEach(this::recordCrash);
    }
  }

  /**
   * Evaluates evidence that has settled, and releases held requests that may proceed or must be
   * refused.
   */
  void decide(long nowMs, Consumer<OpenRequest> released) {
    soundParts.takeDue(nowMs).forEach(watched -> askEndpoint(watched.attempt()));
    if (nowMs >= crashRegistry.nextDecisionMs()) {
      crashRegistry.allHostsReporting(allHostsReporting.getAsBoolean());
    }
    List<RejectedRequest> newlyRejected = crashRegistry.decide(nowMs);
    if (!newlyRejected.isEmpty()) {
      publish(CrashUpdate.ofRejected(newlyRejected));
    }
    release(nowMs, released);
  }

  private void release(long nowMs, Consumer<OpenRequest> released) {
    for (OpenRequest request : List.copyOf(heldRequests)) {
      if (mayProceed(request, nowMs) || quarantinedTooLong(request, nowMs) != null) {
        heldRequests.remove(request);
        released.accept(request);
      }
    }
    nextRecheckMs = heldRequests.isEmpty() ? Long.MAX_VALUE : nowMs + RECHECK_INTERVAL_MS;
  }

  private void publish(CrashUpdate update) {
    hasNewRejections |= !update.rejected().isEmpty();
    if (!update.isEmpty()) {
      actions.add(new Action.BroadcastCrashes(update));
    }
  }

  /** Whether requests have been rejected newly since the last call. */
  boolean takeHasNewRejections() {
    boolean hadNewRejections = hasNewRejections;
    hasNewRejections = false;
    return hadNewRejections;
  }

  /**
   * Returns why requests with many terminations were not rejected, if this changed since the last
   * call.
   */
  public List<CrashFinding> takeFindings() {
    return crashRegistry.takeFindings();
  }

  /** Returns when {@link #decide} is next due, or {@link Long#MAX_VALUE} if it is not. */
  long dueMs() {
    long nextMs = Math.min(nextRecheckMs, crashRegistry.nextDecisionMs());
    return Math.min(nextMs, soundParts.dueMs());
  }

  /** Returns a digest of the evidence, equal on hosts that have the same evidence. */
  public long digest() {
    return crashRegistry.digest();
  }

  /** Clears the rejection of a request, given by the fingerprint used in logs and by operators. */
  public void clearRejection(String fingerprint, long nowMs) {
    for (RejectedRequest rejected : crashRegistry.rejected()) {
      if (rejected.request().toString().equals(fingerprint)) {
        publish(crashRegistry.clearRejection(rejected.request(), nowMs));
      }
    }
  }

  /** Returns the requests that are rejected now. */
  public List<RejectedRequest> rejected() {
    return crashRegistry.rejected();
  }

  /** Returns all evidence of this host, for a host that may lack some of it. */
  public CrashUpdate allUpdates() {
    return crashRegistry.fullUpdate();
  }
}
