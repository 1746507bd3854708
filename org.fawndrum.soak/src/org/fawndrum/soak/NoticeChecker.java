// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks that hosts follow the notices in endpoints' answers: a draining endpoint gets no new
 * requests, and one that requested a backoff gets hardly any during it. Times are those of {@link
 * System#nanoTime} in milliseconds. Confined to one event loop.
 */
final class NoticeChecker {
  /**
   * Time in milliseconds after a host has forwarded an answer with an endpoint's draining notice;
   * requests that callers send to the host later than that must not reach the endpoint.
   */
  private static final long DRAINING_GRACE_MS = 2_000;

  /** How long requests in transit may still arrive after a backoff request, in milliseconds. */
  private static final long IN_TRANSIT_MS = 500;

  /** Maximum number of requests per host that may arrive during the rest of the backoff. */
  private static final int MAX_DURING_BACKOFF = 2;

  /** How long after a signal to a host its answers may predate the signal, in milliseconds. */
  private static final long SIGNAL_GRACE_MS = 1_000;

  private final Map<String, SentRequest> sentRequests = new HashMap<>();
  private final Map<String, Long> signalledAtMs = new HashMap<>();
  private final Map<HostEndpoint, Long> drainingSinceMs = new HashMap<>();
  private final Map<HostEndpoint, Backoff> backoffs = new HashMap<>();
  private final Map<String, Integer> restarts = new HashMap<>();

  /** The restart count of its endpoint when each request last arrived there. */
  private final Map<Arrival, Integer> restartsAtArrival = new HashMap<>();

  private final List<String> violations = new ArrayList<>();
  private int drainingNotices;
  private int backoffNotices;

  /** A host and an endpoint, by name. */
  private record HostEndpoint(String host, String endpoint) {}

  /** A request that arrived at an endpoint. */
  private record Arrival(String id, String endpoint) {}

  /** A request sent to a host. */
  private record SentRequest(String host, long atMs) {}

  /** A backoff that an endpoint requested of a host. */
  private static final class Backoff {
    final long fromMs;
    final long untilMs;
    int arrivals;

    Backoff(long fromMs, long untilMs) {
      this.fromMs = fromMs;
      this.untilMs = untilMs;
    }
  }

  /** Records a request before it is sent. */
  void recordSent(String id, String host, long nowMs) {
    sentRequests.put(id, new SentRequest(host, nowMs));
  }

  /** Returns the host that a request was sent to; null if it is unknown. */
  String hostOf(String id) {
    SentRequest request = sentRequests.get(id);
    return request == null ? null : request.host();
  }

  /** Records that a caller received an answer with its endpoint's draining notice. */
  void recordDrainingNotice(String id, String endpoint, long nowMs) {
    drainingNotices++;
    SentRequest request = sentRequests.get(id);
    // An answer may arrive after its incarnation has ended; it doesn't apply to the next one.
    int restartCount = restarts.getOrDefault(endpoint, 0);
    boolean ofThisIncarnation =
        restartsAtArrival.getOrDefault(new Arrival(id, endpoint), 0) == restartCount;
    if (request != null && ofThisIncarnation && !recentlySignalled(request.host(), nowMs)) {
      drainingSinceMs.putIfAbsent(new HostEndpoint(request.host(), endpoint), nowMs);
    }
  }

  /** Records that an endpoint rejected a request and asked for a backoff, in milliseconds. */
  void recordBackoff(String id, String endpoint, long backoffMs, long nowMs) {
    backoffNotices++;
    SentRequest request = sentRequests.get(id);
    if (request != null && !recentlySignalled(request.host(), nowMs)) {
      HostEndpoint pair = new HostEndpoint(request.host(), endpoint);
      Backoff previous = backoffs.get(pair);
      if (previous == null || previous.untilMs <= nowMs) {
        backoffs.put(pair, new Backoff(nowMs + IN_TRANSIT_MS, nowMs + backoffMs));
      }
    }
  }

  /** Records that a host restarts or is suspended, so it may have lost or missed notices. */
  void recordSignal(String host, long nowMs) {
    signalledAtMs.put(host, nowMs);
    drainingSinceMs.keySet().removeIf(pair -> pair.host().equals(host));
    backoffs.keySet().removeIf(pair -> pair.host().equals(host));
  }

  private boolean recentlySignalled(String host, long nowMs) {
    return nowMs - signalledAtMs.getOrDefault(host, -SIGNAL_GRACE_MS) < SIGNAL_GRACE_MS;
  }

  /** Records that messages to and from an endpoint may be delayed or lost. */
  void recordLinkImpaired(String endpoint) {
    backoffs.keySet().removeIf(pair -> pair.endpoint().equals(endpoint));
  }

  /** Records that an endpoint restarts, which ends the notices of the previous incarnation. */
  void recordRestart(String endpoint) {
    restarts.merge(endpoint, 1, Integer::sum);
    drainingSinceMs.keySet().removeIf(pair -> pair.endpoint().equals(endpoint));
    backoffs.keySet().removeIf(pair -> pair.endpoint().equals(endpoint));
  }

  /** Records and checks the arrival of a request at an endpoint. */
  void recordArrival(String id, String endpoint, long nowMs) {
    SentRequest request = sentRequests.get(id);
    if (request == null) {
      return;
    }
    restartsAtArrival.put(new Arrival(id, endpoint), restarts.getOrDefault(endpoint, 0));
    HostEndpoint pair = new HostEndpoint(request.host(), endpoint);
    Long noticeMs = drainingSinceMs.get(pair);
    if (noticeMs != null && request.atMs() > noticeMs + DRAINING_GRACE_MS) {
      long afterMs = request.atMs() - noticeMs;
      violations.add(
          id + " reached " + endpoint + ", sent " + afterMs + " ms after its draining notice");
    }
    Backoff backoff = backoffs.get(pair);
    if (backoff != null && nowMs > backoff.fromMs && nowMs < backoff.untilMs) {
      backoff.arrivals++;
      if (backoff.arrivals == MAX_DURING_BACKOFF + 1) {
        violations.add(
            id
                + " reached "
                + endpoint
                + " during its backoff, after two others of "
                + pair.host());
      }
    }
  }

  /** Returns the violations found up to now. */
  List<String> violations() {
    return violations;
  }

  /** Returns the numbers of draining notices and of backoff requests. */
  String summary() {
    return drainingNotices
        + " answers with a draining notice, "
        + backoffNotices
        + " backoff requests";
  }
}
