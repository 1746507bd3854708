// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fawndrum.state.HostIdentity;

/**
 * Detects requests that crash the endpoints that run them, from the reports of all hosts. Such a
 * request is repeated after each failure and through any host, so the evidence is collected per
 * request content, over attempts, hosts and endpoints.
 *
 * <p>A crash affects all requests of an endpoint, and all but one of them are innocent. A request
 * is rejected only after three endpoints crashed under it, in two bursts or more, and if nothing
 * else explains the crashes ({@link CrashRules}). A crash counts only once the reports of other
 * hosts about it have had time to arrive.
 *
 * <p>Hosts exchange their evidence; {@link #merge} accepts it in any order and any number of times.
 * Confined to one thread; times are those of the host's clock, in milliseconds.
 */
public final class CrashRegistry {
  /** How long a request stays rejected after its last arrival. */
  static final long REJECTION_EXPIRY_MS = 3_600_000;

  /** Maximum number of rejected requests; the one that arrived longest ago is removed first. */
  static final int MAX_REJECTED = 256;

  private final CrashHistory history = new CrashHistory();
  private final Map<RequestFingerprint, Rejection> rejected = new LinkedHashMap<>();
  private final Map<RequestFingerprint, Long> lastAnsweredMs = new LinkedHashMap<>();
  private final Map<RequestFingerprint, Long> clearedMs = new LinkedHashMap<>();
  private final CrashRules rules = new CrashRules(history, rejected, lastAnsweredMs);
  private final ExecutionLeases leases;
  private final InconclusiveRunTable inconclusiveRuns = new InconclusiveRunTable();
  private Set<RequestFingerprint> suspects = Set.of();
  private Set<Long> suspectLengths = Set.of();
  private long digest;
  private boolean digestStale;
  private List<RejectedRequest> rejectedList = List.of();
  private final FindingBuffer findings = new FindingBuffer();
  private long nextDecisionMs = Long.MAX_VALUE;

  /** A rejected request and the time of its last arrival. */
  private static final class Rejection {
    final RejectedRequest record;
    long lastArrivalMs;

    Rejection(RejectedRequest record, long lastArrivalMs) {
      this.record = record;
      this.lastArrivalMs = lastArrivalMs;
    }
  }

  /**
   * Creates a registry without crashes.
   *
   * @param self the host that keeps it
   */
  public CrashRegistry(HostIdentity self) {
    this.leases = new ExecutionLeases(self);
  }

  /** Sets whether this host receives messages from all known hosts, and thus their observations. */
  public void allHostsReporting(boolean reporting) {
    history.allHostsReporting(reporting);
  }

  /**
   * Records the crash of an endpoint that had a request; returns the update for other hosts.
   *
   * @param lastSentMs when the request was sent to it
   */
  public CrashUpdate recordCrash(
      HostIdentity endpoint, RequestFingerprint request, long lastSentMs, long nowMs) {
    EndpointCrash crash = new EndpointCrash(endpoint, lastSentMs, nowMs, Set.of(request));
    EndpointCrash changed = add(crash, nowMs);
    return changed == null ? CrashUpdate.NONE : CrashUpdate.of(changed);
  }

  /**
   * Records the end of an incarnation after the connection of a request to it had broken for a
   * cause that no host observed, unless that incarnation is known to have crashed at another time;
   * returns the update for other hosts.
   *
   * @param lastSentMs when the request was sent to it
   * @param brokenMs when the connection broke
   */
  public CrashUpdate recordIncarnationEnd(
      HostIdentity endpoint, RequestFingerprint request, long lastSentMs, long brokenMs) {
    EndpointCrash crash = new EndpointCrash(endpoint, lastSentMs, brokenMs, Set.of(request));
    return history.hasCrashAtOtherTime(crash)
        ? CrashUpdate.NONE
        : recordCrash(endpoint, request, lastSentMs, brokenMs);
  }

  private EndpointCrash add(EndpointCrash crash, long nowMs) {
    EndpointCrash changed = history.add(crash, nowMs, rules::isSuspect);
    // Also needed if only expired crashes were removed.
    digestStale = true;
    if (changed != null) {
      refreshSuspects();
      changed.requests().forEach(request -> leases.endStartedBefore(request, changed.atMs()));
      nextDecisionMs = Math.min(nextDecisionMs, nowMs + CrashRules.SETTLE_MS);
    }
    return changed;
  }

  private void refreshSuspects() {
    Set<RequestFingerprint> allSuspects = history.requests();
    allSuspects.addAll(rejected.keySet());
    suspects = allSuspects;
    Set<Long> allLengths = new HashSet<>();
    allSuspects.forEach(request -> allLengths.add(request.bytes()));
    suspectLengths = allLengths;
    rules.invalidate();
    digestStale = true;
    rejectedList = rejected.values().stream().map(rejection -> rejection.record).toList();
  }

  /** Returns the fingerprint of a suspect; computes it only if the length is that of a suspect. */
  private Optional<RequestFingerprint> suspect(RequestContent content) {
    if (!suspectLengths.contains(content.bytes())) {
      return Optional.empty();
    }
    return content.fingerprint().filter(suspects::contains);
  }

  /** Records an answer of an endpoint that did not crash; returns the update for other hosts. */
  public CrashUpdate recordAnswer(RequestContent content, long nowMs) {
    return suspect(content)
        .map(request -> clear(new AnsweredRequest(request, nowMs)))
        .orElse(CrashUpdate.NONE);
  }

  /** Clears a rejected request by an operator's order; returns the update for other hosts. */
  public CrashUpdate clearRejection(RequestFingerprint request, long nowMs) {
    return clear(new AnsweredRequest(request, nowMs));
  }

  private CrashUpdate clear(AnsweredRequest answer) {
    Long before = lastAnsweredMs.get(answer.request());
    boolean isNew = before == null || answer.atMs() > before + CrashRules.SETTLE_MS;
    if (!isNew) {
      return CrashUpdate.NONE;
    }
    put(lastAnsweredMs, answer);
    leases.endStartedBefore(answer.request(), answer.atMs());
    inconclusiveRuns.forget(answer.request(), answer.atMs());
    history.removeRequest(answer.request(), answer.atMs());
    Rejection rejection = rejected.get(answer.request());
    if (rejection != null && rejection.record.sinceMs() <= answer.atMs() + CrashRules.SETTLE_MS) {
      rejected.remove(answer.request());
      put(clearedMs, answer);
    }
    refreshSuspects();
    return CrashUpdate.of(answer);
  }

  private static void put(Map<RequestFingerprint, Long> map, AnsweredRequest answer) {
    BoundedMaps.putLast(map, answer.request(), answer.atMs(), MAX_REJECTED);
  }

  /** Returns whether an arriving or waiting request is allowed, delayed or rejected. */
  public CrashVerdict verdict(RequestContent content, long nowMs) {
    Optional<RequestFingerprint> request = suspect(content);
    if (request.isEmpty()) {
      return CrashVerdict.ALLOWED;
    }
    Rejection rejection = rejected.get(request.get());
    if (rejection != null && nowMs - rejection.lastArrivalMs <= REJECTION_EXPIRY_MS) {
      rejection.lastArrivalMs = nowMs;
      rejected.remove(request.get());
      rejected.put(request.get(), rejection);
      return CrashVerdict.REJECTED;
    }
    boolean delayed = rules.isDelayed(request.get(), nowMs);
    if (delayed) {
      // Also if no decision was due any more: this bounds the delay of the request.
      nextDecisionMs = Math.min(nextDecisionMs, nowMs + CrashRules.SETTLE_MS);
    }
    return delayed ? CrashVerdict.DELAYED : CrashVerdict.ALLOWED;
  }

  /** Returns whether a request needs an execution lease, so that one copy of it runs at a time. */
  public boolean needsLease(RequestContent content) {
    return suspect(content).filter(rules::requiresLease).isPresent();
  }

  /** Requests a lease unless there is one or a quarantine; returns the update for other hosts. */
  public CrashUpdate requestLease(RequestContent content, long nowMs) {
    return content
        .fingerprint()
        .filter(request -> quarantinedUntilMs(request) <= nowMs)
        .map(request -> leases.request(request, nowMs))
        .map(CrashUpdate::of)
        .orElse(CrashUpdate.NONE);
  }

  /** Returns when the quarantine of a request ends; in the past, or 0, for most requests. */
  public long quarantinedUntilMs(RequestContent content) {
    return suspect(content).filter(rules::requiresLease).map(this::quarantinedUntilMs).orElse(0L);
  }

  private long quarantinedUntilMs(RequestFingerprint request) {
    return inconclusiveRuns.quarantinedUntilMs(request, rules.crashesDuringLeases(request));
  }

  /** Acquires the lease that this host requested, once all other hosts must have received it. */
  public Optional<ExecutionLease> acquireLease(RequestContent content, long nowMs) {
    return content.fingerprint().flatMap(request -> leases.acquire(request, nowMs));
  }

  /** Returns whether an acquired lease is still valid. */
  public boolean isLeaseValid(ExecutionLease lease, long nowMs) {
    return leases.isValid(lease, nowMs);
  }

  /** Releases an acquired lease, because the request was not run under it or was answered. */
  public void releaseLease(ExecutionLease lease) {
    leases.release(lease);
  }

  /**
   * Releases a lease after a run without an answer, and counts the run unless an endpoint is known
   * to have crashed under it meanwhile; returns the update for other hosts.
   */
  public CrashUpdate recordInconclusiveRun(ExecutionLease lease) {
    leases.release(lease);
    boolean crashIsKnown =
        history.crashesWith(lease.request()).stream()
            .anyMatch(crash -> crash.atMs() >= lease.atMs());
    return crashIsKnown ? CrashUpdate.NONE : CrashUpdate.of(inconclusiveRuns.recordRun(lease));
  }

  /** Returns whether a request must not share endpoints with other suspects. */
  public boolean isIsolated(RequestContent content) {
    return suspect(content).filter(request -> rules.isolated().contains(request)).isPresent()
        && rules.isolated().size() > 1;
  }

  /**
   * Returns whether an isolated request may be sent to an endpoint without meeting another suspect
   * there. If two suspects always shared their endpoints, only a crash without one of them shows
   * which one is the cause.
   */
  public boolean mayRunAt(RequestContent content, HostIdentity endpoint) {
    return content.fingerprint().filter(key -> key.equals(rules.ownerOf(endpoint))).isPresent();
  }

  /** Returns when {@link #decide} is due next, or {@link Long#MAX_VALUE}. */
  public long nextDecisionMs() {
    return nextDecisionMs;
  }

  /** Evaluates all settled crashes; returns the requests that are rejected from now on. */
  public List<RejectedRequest> decide(long nowMs) {
    if (nowMs < nextDecisionMs) {
      return List.of();
    }
    if (rejected.values().removeIf(entry -> nowMs - entry.lastArrivalMs > REJECTION_EXPIRY_MS)) {
      refreshSuspects();
    }
    List<RejectedRequest> newlyRejected = new ArrayList<>();
    for (RequestFingerprint request : history.requests()) {
      if (history.crashCount(request) >= CrashRules.MIN_CRASHES && !rejected.containsKey(request)) {
        List<EndpointCrash> settled = settledCrashes(request, nowMs);
        CrashFinding finding = rules.evaluate(request, settled);
        findings.add(finding);
        if (finding.isCause()) {
          newlyRejected.add(reject(new RejectedRequest(request, nowMs, names(settled)), nowMs));
        }
      }
    }
    nextDecisionMs = Long.MAX_VALUE;
    boolean unsettled =
        !history.matching(crash -> nowMs - crash.atMs() < CrashRules.SETTLE_MS).isEmpty();
    if (unsettled) {
      nextDecisionMs = nowMs + CrashRules.SETTLE_MS / 2;
    }
    return newlyRejected;
  }

  private List<EndpointCrash> settledCrashes(RequestFingerprint request, long nowMs) {
    return history.crashesWith(request).stream()
        .filter(crash -> nowMs - crash.atMs() >= CrashRules.SETTLE_MS)
        .toList();
  }

  /** Returns and clears the findings since the last call that did not lead to a rejection. */
  public List<CrashFinding> takeFindings() {
    return findings.drain();
  }

  private static List<String> names(List<EndpointCrash> crashes) {
    return crashes.stream()
        .map(crash -> crash.endpoint().toString())
        .limit(CrashRules.MIN_CRASHES_WHEN_AMBIGUOUS)
        .toList();
  }

  private RejectedRequest reject(RejectedRequest record, long nowMs) {
    BoundedMaps.putLast(rejected, record.request(), new Rejection(record, nowMs), MAX_REJECTED);
    refreshSuspects();
    return record;
  }

  /** Merges the update of another host; returns what was new here, to be forwarded. */
  public CrashUpdate merge(CrashUpdate update, long nowMs) {
    List<AnsweredRequest> answered =
        update.answered().stream().filter(answer -> !clear(answer).isEmpty()).toList();
    List<RejectedRequest> newlyRejected =
        update.rejected().stream()
            .filter(this::isNew)
            .map(request -> reject(request, nowMs))
            .toList();
    List<EndpointCrash> crashes = new ArrayList<>();
    for (EndpointCrash crash : update.crashes()) {
      EndpointCrash changed = history.covers(crash) ? null : add(crash, nowMs);
      if (changed != null) {
        crashes.add(changed);
      }
    }
    List<ExecutionLease> newLeases =
        update.leases().stream().filter(lease -> leases.merge(lease, nowMs)).toList();
    List<InconclusiveRuns> newRuns =
        update.inconclusiveRuns().stream().filter(this::mergeInconclusiveRuns).toList();
    return new CrashUpdate(crashes, answered, newlyRejected, newLeases, newRuns, update.hops() + 1);
  }

  private boolean mergeInconclusiveRuns(InconclusiveRuns received) {
    leases.endStartedBefore(
        received.request(), received.lastStartedMs() + ExecutionLeases.PROPAGATION_MS);
    Long answeredMs = lastAnsweredMs.get(received.request());
    return (answeredMs == null || received.lastStartedMs() > answeredMs)
        && inconclusiveRuns.merge(received);
  }

  private boolean isNew(RejectedRequest received) {
    Long clearedAtMs = clearedMs.get(received.request());
    boolean cleared =
        clearedAtMs != null && received.sinceMs() <= clearedAtMs + CrashRules.SETTLE_MS;
    return !cleared && !rejected.containsKey(received.request());
  }

  /** Returns all evidence that no rejection explains, for a host that may lack some of it. */
  public CrashUpdate fullUpdate() {
    List<AnsweredRequest> clearedRequests = new ArrayList<>();
    clearedMs.forEach((request, atMs) -> clearedRequests.add(new AnsweredRequest(request, atMs)));
    return new CrashUpdate(
        history.matching(crash -> !rules.isExplained(crash)),
        clearedRequests,
        rejected(),
        List.of(),
        inconclusiveRuns.all(),
        0);
  }

  /** Returns the requests that are rejected now. */
  public List<RejectedRequest> rejected() {
    return rejectedList;
  }

  /**
   * Returns a hash of the known evidence, equal on two hosts that have the same; 0 if there is
   * none.
   */
  public long digest() {
    if (digestStale) {
      digest = computeDigest();
      digestStale = false;
    }
    return digest;
  }

  private long computeDigest() {
    long sum = hashOf(rejected.keySet());
    for (EndpointCrash crash : history.matching(known -> !rules.isExplained(known))) {
      long endpointHash = crash.endpoint().host().hashCode() + crash.endpoint().incarnation();
      sum += (1 + endpointHash) * (1 + hashOf(crash.requests()));
    }
    return sum;
  }

  private static long hashOf(Set<RequestFingerprint> requests) {
    return requests.stream().mapToLong(request -> request.high() ^ request.low()).sum();
  }
}
