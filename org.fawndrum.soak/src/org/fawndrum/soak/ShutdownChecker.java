// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Checks planned shutdowns: every request that was completely sent to a host during its shutdown
 * gets a complete answer or a refusal. Confined to one event loop.
 *
 * <p>An aborted request is one whose connection the host closed before the end of the answer.
 */
final class ShutdownChecker {
  /**
   * Time after the stop signal from which a host must not start newly sent requests, in
   * milliseconds.
   */
  private static final long ACCEPT_WINDOW_MS = 3_000;

  /** In the last of this many equal parts of the grace period, old requests may be aborted. */
  private static final long GRACE_PARTS = 6;

  /**
   * A request that waited longer than this, in milliseconds, counts as read if the host's log
   * mentions it. A host that exits or closes an idle connection may not have read a request that
   * just arrived.
   */
  private static final long READ_IF_LOGGED_MS = 250;

  /** A request that waited longer than this counts as read in any case, in milliseconds. */
  private static final long ALWAYS_READ_MS = 1_000;

  /** Maximum delay with which the soak observes a closed connection, in milliseconds. */
  private static final long CLOSE_DELAY_MS = 500;

  /** The exit time of a host that has not exited yet. */
  private static final long NOT_EXITED = Long.MAX_VALUE / 2;

  private final long graceMs;
  private final List<Shutdown> shutdowns = new ArrayList<>();
  private final Map<String, SentRequest> sentRequests = new HashMap<>();
  private final Map<String, List<EndpointRun>> runsById = new HashMap<>();
  private final Map<String, AbortedRequest> abortedRequests = new LinkedHashMap<>();
  private final List<Long> impairmentStartsMs = new ArrayList<>();
  private final List<Long> impairmentEndsMs = new ArrayList<>();

  /** A planned shutdown of a host. */
  private record Shutdown(String host, long signalMs, long exitMs) {}

  /** A request that was completely sent. */
  private record SentRequest(String host, long atMs, long deadlineMs) {}

  /** A request that ended without a complete answer. */
  private record AbortedRequest(boolean midAnswer, long atMs) {}

  ShutdownChecker(long graceMs) {
    this.graceMs = graceMs;
  }

  /** Records that a host is about to receive the stop signal. */
  void recordStopSignal(String host, long nowMs) {
    shutdowns.add(new Shutdown(host, nowMs, NOT_EXITED));
  }

  /** Records that the host that was signalled last has exited. */
  void recordExit(long nowMs) {
    Shutdown shutdown = shutdowns.remove(shutdowns.size() - 1);
    shutdowns.add(new Shutdown(shutdown.host(), shutdown.signalMs(), nowMs));
  }

  /** Records that a request was completely sent, and its deadline in milliseconds after that. */
  void recordSent(String id, String host, long deadlineMs, long nowMs) {
    sentRequests.put(id, new SentRequest(host, nowMs, deadlineMs));
  }

  /** Records that a request arrived at an endpoint. */
  void recordArrival(String id, EndpointRun run) {
    runsById.computeIfAbsent(id, key -> new ArrayList<>()).add(run);
  }

  /** Records that the link of an endpoint is impaired from now on. */
  void recordImpairmentStart(long nowMs) {
    impairmentStartsMs.add(nowMs);
  }

  /** Records that the link of one such endpoint works again. */
  void recordImpairmentEnd(long nowMs) {
    impairmentEndsMs.add(nowMs);
  }

  /** Records that a caller's connection closed before the end of an answer. */
  void recordAborted(String id, boolean midAnswer, long nowMs) {
    abortedRequests.put(id, new AbortedRequest(midAnswer, nowMs));
  }

  /**
   * Returns one message for each request that a planned shutdown aborted without a valid reason.
   *
   * @param logged whether a host's log mentions a request
   */
  List<String> violations(Predicate<String> logged) {
    List<String> violations = new ArrayList<>();
    abortedRequests.forEach(
        (id, aborted) -> {
          Shutdown shutdown = shutdownOf(id, aborted);
          if (shutdown != null
              && wasRead(id, aborted, logged)
              && !isExcused(id, aborted, shutdown)) {
            violations.add(
                id
                    + " was aborted "
                    + (aborted.atMs() - shutdown.signalMs())
                    + " ms after the stop signal to "
                    + shutdown.host()
                    + ", sent at "
                    + (sentRequests.get(id).atMs() - shutdown.signalMs())
                    + " ms");
          }
        });
    return violations;
  }

  /** Returns the shutdown of its host during which a request was aborted, or null if none. */
  private Shutdown shutdownOf(String id, AbortedRequest aborted) {
    SentRequest request = sentRequests.get(id);
    if (request == null) {
      return null;
    }
    return shutdowns.stream()
        .filter(
            shutdown ->
                shutdown.host().equals(request.host()) && request.atMs() < shutdown.exitMs())
        .filter(
            shutdown ->
                aborted.atMs() >= shutdown.signalMs()
                    && aborted.atMs() <= shutdown.exitMs() + CLOSE_DELAY_MS)
        .findFirst()
        .orElse(null);
  }

  /** Whether the host must have read the request before it closed the connection. */
  private boolean wasRead(String id, AbortedRequest aborted, Predicate<String> logged) {
    long waitedMs = aborted.atMs() - sentRequests.get(id).atMs();
    return aborted.midAnswer()
        || runsById.containsKey(id)
        || waitedMs > ALWAYS_READ_MS
        || waitedMs > READ_IF_LOGGED_MS && logged.test(id);
  }

  /**
   * Whether the abort has a valid reason: the deadline, an abort by the endpoint, an impaired link,
   * or, for old requests, the last part of the grace period.
   */
  private boolean isExcused(String id, AbortedRequest aborted, Shutdown shutdown) {
    SentRequest request = sentRequests.get(id);
    if (aborted.atMs() >= request.atMs() + request.deadlineMs() - CLOSE_DELAY_MS) {
      return true;
    }
    List<EndpointRun> runs = runsById.getOrDefault(id, List.of());
    EndpointRun lastRun = runs.isEmpty() ? null : runs.get(runs.size() - 1);
    if (lastRun != null && (lastRun.isImpaired() || lastRun.isAborted())) {
      return true;
    }
    if (aborted.midAnswer() && senderAborted(runs)) {
      return true;
    }
    boolean atNoEndpoint = lastRun == null || !lastRun.isActiveAt(aborted.atMs() - CLOSE_DELAY_MS);
    if (atNoEndpoint && wasImpaired(request.atMs(), aborted.atMs())) {
      return true;
    }
    long lastSixthMs = shutdown.signalMs() + graceMs * (GRACE_PARTS - 1) / GRACE_PARTS;
    return request.atMs() <= shutdown.signalMs() + ACCEPT_WINDOW_MS
        && lastRun != null
        && lastRun.isActiveAt(lastSixthMs);
  }

  /**
   * Whether the endpoint that sent the most recent part of the answer aborted it. The host may have
   * tried other endpoints without success since then. Once another endpoint continues the answer,
   * the earlier abort no longer counts.
   */
  private static boolean senderAborted(List<EndpointRun> runs) {
    EndpointRun sender = null;
    for (EndpointRun run : runs) {
      sender = run.hasResponseStarted() ? run : sender;
    }
    return sender != null && (sender.isAborted() || sender.isLostInTransit());
  }

  /** Whether the link of some endpoint was impaired at any time in a time span. */
  private boolean wasImpaired(long fromMs, long untilMs) {
    long started = impairmentStartsMs.stream().filter(atMs -> atMs <= untilMs).count();
    long ended = impairmentEndsMs.stream().filter(atMs -> atMs < fromMs).count();
    return started > ended;
  }

  /** Returns the numbers of shutdowns, of requests sent during them and of those aborted. */
  String summary() {
    long during =
        sentRequests.values().stream()
            .filter(
                request ->
                    shutdowns.stream()
                        .anyMatch(
                            shutdown ->
                                shutdown.host().equals(request.host())
                                    && request.atMs() >= shutdown.signalMs()
                                    && request.atMs() < shutdown.exitMs()))
            .count();
    long abortedDuring =
        abortedRequests.entrySet().stream()
            .filter(aborted -> shutdownOf(aborted.getKey(), aborted.getValue()) != null)
            .filter(aborted -> wasRead(aborted.getKey(), aborted.getValue(), id -> false))
            .count();
    return shutdowns.size()
        + " shutdowns, "
        + during
        + " requests sent during them, "
        + abortedDuring
        + " aborted";
  }
}
