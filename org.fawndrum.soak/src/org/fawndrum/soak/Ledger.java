// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * What callers sent and got, and what endpoints ran; says which promises were broken. Times are
 * those of {@link System#nanoTime} in milliseconds. Confined to one event loop.
 */
final class Ledger {
  /** Answers that promise that the request has not run and will not. */
  private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

  /** Answers that say the request itself is wrong; callers of the soak send none that is. */
  private static final Set<Integer> DENIED = Set.of(400, 401, 404, 413, 431);

  static final int SUCCESS = 200;

  private final Map<String, Sent> sent = new HashMap<>();
  private final Map<String, Integer> runs = new HashMap<>();
  private final Map<String, Integer> refusals = new HashMap<>();
  private final Map<String, Long> revokedMs = new HashMap<>();
  private final List<String> broken = new ArrayList<>();
  private final Map<Integer, Integer> answers = new HashMap<>();
  private final MemoryLedger memory = new MemoryLedger();
  private final CrashCount crashes = new CrashCount();
  private final NoticeLedger notices = new NoticeLedger();
  private final StopLedger stops = new StopLedger(SoakSite.GRACE_MS);
  private final long revokeMs;
  private int failed;

  /**
   * A request as it was sent.
   *
   * @param path its path, unique
   * @param repeatable whether it may run more than once
   * @param key its key
   * @param body the body that a whole answer has
   * @param atMs when it was sent
   */
  record Sent(String path, boolean repeatable, String key, String body, long atMs) {}

  /**
   * Makes an empty ledger.
   *
   * @param revokeMs after how long a revoked key must not run anything, in milliseconds
   */
  Ledger(long revokeMs) {
    this.revokeMs = revokeMs;
  }

  /** Returns the memory that engines set aside. */
  MemoryLedger memory() {
    return memory;
  }

  /** Returns the engines that ended under requests. */
  CrashCount crashes() {
    return crashes;
  }

  /** Returns what endpoints said about themselves. */
  NoticeLedger notices() {
    return notices;
  }

  /** Takes note of a signal to a host. */
  void troubled(String host, long nowMs) {
    crashes.troubled(host, nowMs);
    notices.troubled(host, nowMs);
  }

  /** Returns the planned stops. */
  StopLedger stops() {
    return stops;
  }

  /** Takes note that a request arrived at an endpoint, with its tickets for memory elsewhere. */
  EndpointRun arrived(String id, List<String> tickets) {
    EndpointRun run = new EndpointRun();
    stops.arrived(id, run);
    tickets.forEach(ticket -> memory.used(ticket, run));
    return run;
  }

  /** Takes note of a request before it is sent. */
  void sent(String id, Sent request) {
    sent.put(id, request);
  }

  /** Takes note that the store took a configuration without a key. */
  void revoked(String key, long nowMs) {
    revokedMs.putIfAbsent(key, nowMs);
  }

  /** Takes note that an endpoint began to work on a request. */
  void ran(String id, String path, String workspace) {
    Sent request = sent.get(id);
    if (request == null) {
      broken("an endpoint ran " + id + ", which nobody sent");
      return;
    }
    int times = runs.merge(id, 1, Integer::sum);
    if (times > 1 && !request.repeatable()) {
      broken(id + " ran " + times + " times, though it must not be repeated");
    }
    if (!request.path().equals(path) || !SoakSite.WORKSPACE.equals(workspace)) {
      broken(id + " ran as " + path + " of " + workspace);
    }
    Long gone = revokedMs.get(request.key());
    if (gone != null && request.atMs() > gone + revokeMs) {
      broken(id + " ran, sent " + (request.atMs() - gone) + " ms after its key was revoked");
    }
  }

  /**
   * Takes an answer that came to its end.
   *
   * @param answeredId the id in the answer; null when it has none
   * @param seal the endpoint's seal in the answer; null when it has none
   */
  void answered(String id, int status, String answeredId, String seal, String body) {
    answers.merge(status, 1, Integer::sum);
    crashes.answered(id, body);
    Sent request = sent.get(id);
    if (status == SUCCESS) {
      boolean whole = seal != null && id.equals(answeredId) && body.equals(request.body());
      if (!whole) {
        broken(id + " was answered for " + answeredId + " with seal " + seal + ": " + body);
      }
    }
    if (DENIED.contains(status) && !revokedMs.containsKey(request.key())) {
      broken(id + " was denied with " + status);
    }
    if (NOT_RUN.contains(status)) {
      refused(id, request, status);
    }
  }

  private void refused(String id, Sent request, int status) {
    if (!request.repeatable()) {
      refusals.put(id, status);
    }
  }

  /** Takes note that a request ended without a whole answer. */
  void failed() {
    failed++;
  }

  /** Takes note of a broken promise that was seen elsewhere. */
  void broken(String what) {
    broken.add(what);
  }

  /**
   * Returns what was broken up to now, refusals that were not true included.
   *
   * @param named tells whether a host's log names a request
   */
  List<String> verdict(long nowMs, Predicate<String> named) {
    List<String> all = new ArrayList<>(broken);
    all.addAll(memory.broken(nowMs));
    all.addAll(stops.broken(named));
    all.addAll(crashes.broken());
    all.addAll(notices.broken());
    refusals.forEach(
        (id, status) -> {
          if (runs.getOrDefault(id, 0) > 0) {
            all.add(id + " ran, though it was refused with " + status);
          }
        });
    return all;
  }

  /** Returns how many requests were sent, and how they ended. */
  String summary() {
    return sent.size()
        + " requests, "
        + answers
        + ", "
        + failed
        + " without an answer; "
        + memory.summary()
        + "; "
        + stops.summary()
        + "; "
        + crashes.summary()
        + "; "
        + notices.summary();
  }

  /** Returns how many requests were answered with success. */
  int served() {
    return answers.getOrDefault(SUCCESS, 0);
  }
}
