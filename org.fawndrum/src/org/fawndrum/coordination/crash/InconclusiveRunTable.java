// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.fawndrum.state.HostIdentity;

/**
 * The number of inconclusive runs of suspected requests at all hosts. Each host counts its own; of
 * two counts of one host the higher one applies, which makes merging idempotent and independent of
 * order. Confined to the registry's thread; times are those of the host's clock, in milliseconds.
 */
final class InconclusiveRunTable {
  /**
   * Number of runs without an answer after which a request is quarantined; operators allow three.
   */
  static final int MAX_RUNS = 3;

  /**
   * Duration of the quarantine after the last of these runs and after each further one; longer than
   * a request and its repetitions last.
   */
  static final long QUARANTINE_MS = 60_000;

  /**
   * Maximum number of requests kept; beyond it, the one whose last inconclusive run is oldest is
   * removed.
   */
  private static final int MAX_REQUESTS = 256;

  private final Map<RequestFingerprint, Map<HostIdentity, InconclusiveRuns>> runsByRequest =
      new LinkedHashMap<>();

  /** Counts an inconclusive run at this host; returns the new count for other hosts. */
  InconclusiveRuns recordRun(ExecutionLease lease) {
    InconclusiveRuns previous = runsOf(lease.request()).get(lease.host());
    int count = previous == null ? 1 : previous.count() + 1;
    InconclusiveRuns updated =
        new InconclusiveRuns(lease.request(), lease.host(), count, lease.atMs());
    merge(updated);
    return updated;
  }

  /** Merges the count of a host; returns whether it changed anything. */
  boolean merge(InconclusiveRuns received) {
    InconclusiveRuns current = runsOf(received.request()).get(received.host());
    if (current != null && current.count() >= received.count()) {
      return false;
    }
    Map<HostIdentity, InconclusiveRuns> byHost = new HashMap<>(runsOf(received.request()));
    byHost.put(received.host(), received);
    BoundedMaps.putLast(runsByRequest, received.request(), byHost, MAX_REQUESTS);
    return true;
  }

  private Map<HostIdentity, InconclusiveRuns> runsOf(RequestFingerprint request) {
    return runsByRequest.getOrDefault(request, Map.of());
  }

  /**
   * Returns until when no copy of a request is sent; 0 if it is not quarantined. Missing evidence
   * does not justify putting one endpoint after the other at risk.
   *
   * @param crashes the endpoints that crashed during its leases, even if something else may explain
   *     that
   */
  long quarantinedUntilMs(RequestFingerprint request, List<EndpointCrash> crashes) {
    int count = crashes.size();
    long lastMs = crashes.stream().mapToLong(EndpointCrash::atMs).max().orElse(0);
    for (InconclusiveRuns runs : runsOf(request).values()) {
      count += runs.count();
      lastMs = Math.max(lastMs, runs.lastStartedMs());
    }
    return count < MAX_RUNS ? 0 : lastMs + QUARANTINE_MS;
  }

  /** Returns the number of inconclusive runs of a request at all hosts. */
  int runCount(RequestFingerprint request) {
    return runsOf(request).values().stream().mapToInt(InconclusiveRuns::count).sum();
  }

  /** Returns when the last of these runs began; 0 if there was none. */
  long lastStartedMs(RequestFingerprint request) {
    return runsOf(request).values().stream()
        .mapToLong(InconclusiveRuns::lastStartedMs)
        .max()
        .orElse(0);
  }

  /** Returns the counts of all requests. */
  List<InconclusiveRuns> all() {
    return runsByRequest.values().stream().flatMap(byHost -> byHost.values().stream()).toList();
  }

  /**
   * Removes the runs of a request that started no later than a time, because it was answered then.
   */
  void forget(RequestFingerprint request, long untilMs) {
    Map<HostIdentity, InconclusiveRuns> remaining = new HashMap<>(runsOf(request));
    remaining.values().removeIf(runs -> runs.lastStartedMs() <= untilMs);
    if (remaining.isEmpty()) {
      runsByRequest.remove(request);
    } else {
      runsByRequest.put(request, remaining);
    }
  }
}
