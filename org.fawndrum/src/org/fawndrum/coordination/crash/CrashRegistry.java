// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

import java.util.ArrayList;
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
  private final Rejections rejections = new Rejections();
  private final Map<RequestFingerprint, Long> lastAnsweredMs = new LinkedHashMap<>();
  private final Map<RequestFingerprint, Long> clearedMs = new LinkedHashMap<>();
  private final CrashRules rules = new CrashRules(history, rejections, lastAnsweredMs);
  private final ExecutionLeases leases;
  private final InconclusiveRunTable inconclusiveRuns = new InconclusiveRunTable();
  private final PartRules partRules =
      new PartRules(history, rejections, lastAnsweredMs, inconclusiveRuns);
  private final Suspects suspects = new Suspects();
  private long digest;
  private boolean digestStale;
  private List<RejectedRequest> rejectedList = List.of();
  private final FindingBuffer findings = new FindingBuffer();
  private long nextDecisionMs = Long.MAX_VALUE;

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

  /** Records a crash under a request whose prompt shares no parts; returns the update. */
  CrashUpdate recordCrash(
      HostIdentity endpoint, RequestFingerprint request, long lastSentMs, long nowMs) {
    return recordCrash(new EndpointCrash(endpoint, lastSentMs, nowMs, Set.of(request)), nowMs);
  }

  /** Records the crash of an endpoint that had a request; returns the update for other hosts. */
  public CrashUpdate recordCrash(EndpointCrash crash, long nowMs) {
    EndpointCrash changed = add(crash, nowMs);
    return changed == null ? CrashUpdate.NONE : CrashUpdate.of(changed);
  }

  /**
   * Records the end of an incarnation after the connection of a request to it had broken for a
   * cause that no host observed, unless that incarnation is known to have crashed at another time;
   * returns the update for other hosts.
   */
  public CrashUpdate recordIncarnationEnd(EndpointCrash crash) {
    return history.hasCrashAtOtherTime(crash) ? CrashUpdate.NONE : recordCrash(crash, crash.atMs());
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
    suspects.refresh(history, rejections);
    rules.invalidate();
    digestStale = true;
    rejectedList = rejections.list();
  }

  /** Records an answer of an endpoint that did not crash; returns the update for other hosts. */
  public CrashUpdate recordAnswer(RequestContent content, long nowMs) {
    return suspects
        .request(content)
        .map(request -> clear(new AnsweredRequest(request, nowMs)))
        .orElse(CrashUpdate.NONE);
  }

  /** Returns whether an answer to a request would show that a suspected part is sound. */
  public boolean hasSuspectedPart(RequestContent content) {
    return !suspects.partsOf(content).isEmpty();
  }

  /**
   * Records that an answer to a request began and that its endpoint goes on, which clears the parts
   * of its prompt; returns the update for other hosts.
   */
  public CrashUpdate recordSoundParts(RequestContent content, long beganMs) {
    return CrashUpdate.ofAnswered(
        suspects.partsOf(content).stream()
            .map(part -> new AnsweredRequest(part, beganMs))
            .filter(sound -> !clear(sound).isEmpty())
            .toList());
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
    history.removeInnocent(answer.request(), answer.atMs());
    if (rejections.removeUntil(answer.request(), answer.atMs() + CrashRules.SETTLE_MS)) {
      put(clearedMs, answer);
    }
    if (answer.request().isPart()) {
      // Crashes that it explained may now be explained by another part.
      nextDecisionMs = Math.min(nextDecisionMs, answer.atMs());
    }
    refreshSuspects();
    return CrashUpdate.of(answer);
  }

  private static void put(Map<RequestFingerprint, Long> map, AnsweredRequest answer) {
    BoundedMaps.putLast(map, answer.request(), answer.atMs(), MAX_REJECTED);
  }

  /** Returns whether an arriving or waiting request is allowed, delayed or rejected. */
  public CrashVerdict verdict(RequestContent content, long nowMs) {
    if (rejectsPart(content, nowMs)) {
      return CrashVerdict.REJECTED;
    }
    Optional<RequestFingerprint> request = suspects.request(content);
    if (request.isEmpty()) {
      return CrashVerdict.ALLOWED;
    }
    if (rejections.arrived(request.get(), nowMs)) {
      return CrashVerdict.REJECTED;
    }
    boolean delayed = rules.isDelayed(request.get(), nowMs);
    if (delayed) {
      // Also if no decision was due any more: this bounds the delay of the request.
      nextDecisionMs = Math.min(nextDecisionMs, nowMs + CrashRules.SETTLE_MS);
    }
    return delayed ? CrashVerdict.DELAYED : CrashVerdict.ALLOWED;
  }

  private boolean rejectsPart(RequestContent content, long nowMs) {
    List<RequestFingerprint> parts = partRules.rejectedPartsOf(content);
    parts.forEach(part -> rejections.arrived(part, nowMs));
    return !parts.isEmpty() && !partRules.mayTry(content, parts, nowMs);
  }

  /**
   * Returns whether a request needs an execution lease, so that one copy of it, or one request with
   * its rejected part, runs at a time.
   */
  public boolean needsLease(RequestContent content) {
    return triedPart(content).isPresent()
        || suspects.request(content).filter(rules::requiresLease).isPresent();
  }

  /** Returns the rejected part that a request which is not rejected would try. */
  private Optional<RequestFingerprint> triedPart(RequestContent content) {
    return partRules.rejectedPartsOf(content).stream().findFirst();
  }

  /** Returns what a lease for a request is for. */
  private Optional<RequestFingerprint> leaseSubject(RequestContent content) {
    return triedPart(content).or(content::fingerprint);
  }

  /** Requests a lease unless there is one or a quarantine; returns the update for other hosts. */
  public CrashUpdate requestLease(RequestContent content, long nowMs) {
    return leaseSubject(content)
        .filter(request -> quarantinedUntilMs(request) <= nowMs)
        .map(request -> leases.request(request, nowMs))
        .map(CrashUpdate::of)
        .orElse(CrashUpdate.NONE);
  }

  /** Returns when the quarantine of a request ends; in the past, or 0, for most requests. */
  public long quarantinedUntilMs(RequestContent content) {
    return suspects
        .request(content)
        .filter(rules::requiresLease)
        .map(this::quarantinedUntilMs)
        .orElse(0L);
  }

  private long quarantinedUntilMs(RequestFingerprint request) {
    return inconclusiveRuns.quarantinedUntilMs(request, rules.crashesDuringLeases(request));
  }

  /** Acquires the lease that this host requested, once all other hosts must have received it. */
  public Optional<ExecutionLease> acquireLease(RequestContent content, long nowMs) {
    return leaseSubject(content).flatMap(request -> leases.acquire(request, nowMs));
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
    return suspects
            .request(content)
            .filter(request -> rules.isolated().contains(request))
            .isPresent()
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
    if (rejections.removeExpired(nowMs)) {
      refreshSuspects();
    }
    List<RejectedRequest> newlyRejected = new ArrayList<>();
    for (RequestFingerprint request : history.requests()) {
      if (history.crashCount(request) >= CrashRules.MIN_CRASHES && !rejections.contains(request)) {
        List<EndpointCrash> settled = settledCrashes(request, nowMs);
        CrashFinding finding = rules.evaluate(request, settled);
        findings.add(finding);
        if (finding.isCause()) {
          newlyRejected.add(reject(new RejectedRequest(request, nowMs, names(settled)), nowMs));
        }
      }
    }
    PartRules.Decision ofParts = partRules.decide(nowMs);
    ofParts
        .causes()
        .forEach(
            (part, crashes) ->
                newlyRejected.add(reject(new RejectedRequest(part, nowMs, names(crashes)), nowMs)));
    nextDecisionMs = Long.MAX_VALUE;
    boolean unsettled =
        ofParts.undecided()
            || !history.matching(crash -> nowMs - crash.atMs() < CrashRules.SETTLE_MS).isEmpty();
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
    rejections.add(record, nowMs);
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
    return !cleared && !rejections.contains(received.request());
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
      digest = CrashDigest.of(rejections, history.matching(known -> !rules.isExplained(known)));
      digestStale = false;
    }
    return digest;
  }
}
