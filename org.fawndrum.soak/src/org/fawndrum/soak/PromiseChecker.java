// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Records what callers send and receive and what endpoints run, and reports violations of the
 * promises in docs/PROMISES.md. Times are those of {@link System#nanoTime} in milliseconds.
 * Confined to one event loop.
 */
final class PromiseChecker {
  /** Statuses which promise that the request has not run and will not run. */
  private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

  /** Statuses which say that the request is invalid; the soak's callers send only valid ones. */
  private static final Set<Integer> CLIENT_ERRORS = Set.of(400, 401, 404, 413, 431);

  static final int SUCCESS = 200;

  private final Map<String, SentRequest> sentRequests = new HashMap<>();
  private final Map<String, Integer> runCounts = new HashMap<>();
  private final Map<String, Integer> failedRunCounts = new HashMap<>();
  private final Map<String, Integer> refusalStatuses = new HashMap<>();
  private final Map<String, Long> revokedMs = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private final Map<Integer, Integer> answersByStatus = new HashMap<>();
  private final ReservationChecker reservations = new ReservationChecker();
  private final CrashChecker crashes = new CrashChecker();
  private final NoticeChecker notices = new NoticeChecker();
  private final RateChecker rates = new RateChecker(notices::hostOf, RateChecker.Bounds.NAMED);
  private final RateChecker starts = new RateChecker(notices::hostOf, RateChecker.Bounds.STARTING);
  private final DrainChecker drains = new DrainChecker(notices::hostOf);
  private final ShutdownChecker shutdowns = new ShutdownChecker(SoakSite.GRACE_MS);
  private final HeldBytesChecker held = new HeldBytesChecker(HostSettings.MAX_HELD_BYTES);
  private final LinkChecker links = new LinkChecker();
  private final ConfigurationChecker configurations = new ConfigurationChecker();
  private final long revokeMs;
  private int failureCount;
  private int secondAnswerCount;

  /**
   * A request as its caller sent it.
   *
   * @param path the path; unique
   * @param repeatable whether it may run more than once
   * @param key the caller's key
   * @param body the body of a complete answer
   * @param atMs the send time
   */
  record SentRequest(String path, boolean repeatable, String key, String body, long atMs) {}

  /**
   * Creates a checker without records.
   *
   * @param revokeMs time after which requests with a revoked key must not run, in milliseconds
   */
  PromiseChecker(long revokeMs) {
    this.revokeMs = revokeMs;
  }

  /** Returns the checker of memory reservations. */
  ReservationChecker reservations() {
    return reservations;
  }

  /** Returns the checker of requests that crash engines. */
  CrashChecker crashes() {
    return crashes;
  }

  /** Returns the checker of the notices in endpoints' answers. */
  NoticeChecker notices() {
    return notices;
  }

  /** Returns the checker of the rates in endpoints' answers. */
  RateChecker rates() {
    return rates;
  }

  /** Returns the checker of drained zones. */
  DrainChecker drains() {
    return drains;
  }

  /** Returns the checker of what hosts hold for their callers. */
  HeldBytesChecker held() {
    return held;
  }

  /** Returns the checker of configurations in force. */
  ConfigurationChecker configurations() {
    return configurations;
  }

  /** Returns the checker of the rates of endpoints that start. */
  RateChecker starts() {
    return starts;
  }

  /** Returns the checker of hosts that lose their links to endpoints. */
  LinkChecker links() {
    return links;
  }

  /** Records a signal to a host. */
  void recordSignal(String host, long nowMs) {
    links.recordSignal(host, nowMs);
    configurations.recordSignal(host, nowMs);
    crashes.recordSignal(host, nowMs);
    notices.recordSignal(host, nowMs);
    rates.recordSignal(host, nowMs);
    drains.recordSignal(host, nowMs);
    starts.recordSignal(host, nowMs);
  }

  /** Returns the checker of planned shutdowns. */
  ShutdownChecker shutdowns() {
    return shutdowns;
  }

  /** Records that a request arrived at an endpoint, with its tickets of helper engines. */
  EndpointRun recordArrival(String id, List<String> tickets) {
    EndpointRun run = new EndpointRun();
    shutdowns.recordArrival(id, run);
    tickets.forEach(ticket -> reservations.recordUse(ticket, run));
    return run;
  }

  /** Records a request before it is sent. */
  void recordSent(String id, SentRequest request) {
    sentRequests.put(id, request);
  }

  /** Records that the store accepted a configuration without a key. */
  void recordRevocation(String key, long nowMs) {
    revokedMs.putIfAbsent(key, nowMs);
  }

  /** Records that an endpoint started to run a request. */
  void recordRun(String id, String path, String workspace) {
    SentRequest request = sentRequests.get(id);
    if (request == null) {
      recordViolation("an endpoint ran " + id + ", which nobody sent");
      return;
    }
    int times = runCounts.merge(id, 1, Integer::sum);
    if (times > 1 && !request.repeatable()) {
      recordViolation(id + " ran " + times + " times although it must not be repeated");
    }
    if (!request.path().equals(path) || !SoakSite.WORKSPACE.equals(workspace)) {
      recordViolation(id + " ran as " + path + " of " + workspace);
    }
    Long revokedAtMs = revokedMs.get(request.key());
    if (revokedAtMs != null && request.atMs() > revokedAtMs + revokeMs) {
      recordViolation(
          id + " ran, sent " + (request.atMs() - revokedAtMs) + " ms after its key was revoked");
    }
  }

  /** Records that an endpoint answers a run of a request with a failure of its own, sealed. */
  void recordFailedRun(String id) {
    failedRunCounts.merge(id, 1, Integer::sum);
  }

  /** Records that an endpoint began a second answer to a request. */
  void recordSecondAnswer() {
    secondAnswerCount++;
  }

  /** Checks an answer against the outcome of the runs of its request. */
  private void checkOutcome(String id, int status, String seal) {
    int failed = failedRunCounts.getOrDefault(id, 0);
    if (status == SUCCESS && failed > 0 && failed >= runCounts.getOrDefault(id, 0)) {
      recordViolation(id + " got a success with seal " + seal + ", though each run of it failed");
    }
    if (status != SUCCESS && seal != null && failed == 0) {
      recordViolation(
          id + " got " + status + " with seal " + seal + ", though no run of it failed");
    }
  }

  /**
   * Records and checks a complete answer.
   *
   * @param answeredId the request id in the answer; null if there is none
   * @param seal the endpoint's seal in the answer; null if there is none
   */
  void recordAnswer(String id, int status, String answeredId, String seal, String body) {
    answersByStatus.merge(status, 1, Integer::sum);
    crashes.recordAnswer(id, body);
    checkOutcome(id, status, seal);
    SentRequest request = sentRequests.get(id);
    if (status == SUCCESS) {
      links.recordServed(id);
      boolean valid = seal != null && id.equals(answeredId) && body.equals(request.body());
      if (!valid) {
        recordViolation(
            id + " was answered for " + answeredId + " with seal " + seal + ": " + body);
      }
    }
    if (CLIENT_ERRORS.contains(status) && !revokedMs.containsKey(request.key())) {
      recordViolation(id + " was denied with " + status);
    }
    if (NOT_RUN.contains(status)) {
      recordRefusal(id, request, status);
    }
  }

  private void recordRefusal(String id, SentRequest request, int status) {
    if (!request.repeatable()) {
      refusalStatuses.put(id, status);
    }
  }

  /** Records that a request ended without a complete answer. */
  void recordFailure() {
    failureCount++;
  }

  /** Records a violation that was found elsewhere. */
  void recordViolation(String violation) {
    violations.add(violation);
  }

  /**
   * Returns all violations up to now, including refused requests that have run after all.
   *
   * @param logged whether a host's log mentions a request
   */
  List<String> allViolations(long nowMs, Predicate<String> logged) {
    List<String> all = new ArrayList<>(violations);
    all.addAll(reservations.violations(nowMs));
    all.addAll(shutdowns.violations(logged));
    all.addAll(crashes.violations());
    all.addAll(notices.violations());
    all.addAll(rates.violations());
    all.addAll(drains.violations());
    all.addAll(held.violations());
    all.addAll(starts.violations());
    all.addAll(links.violations());
    all.addAll(configurations.violations());
    refusalStatuses.forEach(
        (id, status) -> {
          if (runCounts.getOrDefault(id, 0) > 0) {
            all.add(id + " ran although it was refused with " + status);
          }
        });
    return all;
  }

  /** Returns the number of requests and how they ended. */
  String summary() {
    return sentRequests.size()
        + " requests, "
        + answersByStatus
        + ", "
        + failureCount
        + " without an answer; "
        + secondAnswerCount
        + " second answers, "
        + failedRunCounts.size()
        + " requests failed by endpoints; "
        + reservations.summary()
        + "; "
        + shutdowns.summary()
        + "; "
        + crashes.summary()
        + "; "
        + notices.summary()
        + "; "
        + rates.summary()
        + "; of starting endpoints "
        + starts.summary()
        + "; "
        + drains.summary()
        + "; "
        + held.summary()
        + "; "
        + links.summary()
        + "; "
        + configurations.summary();
  }

  /** Returns the number of successful answers. */
  int successCount() {
    return answersByStatus.getOrDefault(SUCCESS, 0);
  }
}
