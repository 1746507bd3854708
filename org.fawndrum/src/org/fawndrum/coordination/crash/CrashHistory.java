// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * The most recent crashes of endpoints that had requests, with those requests. Confined to one
 * thread; times are those of the host's clock, in milliseconds.
 */
final class CrashHistory {
  /** Maximum number of crashes kept. A fleet of a few hundred engines has a few crashes an hour. */
  static final int MAX_CRASHES = 64;

  /**
   * Maximum number of requests kept for one crash: the running and queued requests of an engine.
   */
  static final int MAX_REQUESTS_PER_CRASH = 32;

  /** Maximum number of parts kept for one crash: some parts of each request that was waiting. */
  static final int MAX_PARTS_PER_CRASH = 128;

  /** How long a crash is kept. A caller rarely repeats a request after a longer time. */
  static final long RETENTION_MS = 600_000;

  /** Time within which most requests that crash an endpoint are repeated, in milliseconds. */
  private static final long REPEAT_WINDOW_MS = 10_000;

  /** Maximum time between two reports of one crash if no incarnation tells them apart. */
  private static final long SAME_CRASH_WINDOW_MS = 1_000;

  /**
   * Maximum time between crashes of one burst: endpoints that crash within it may have failed
   * together with their rack or zone. A single request crashes an engine about a quarter of a
   * second after it was sent there.
   */
  static final long BURST_MS = 150;

  private static final Comparator<RequestFingerprint> BY_HASH =
      Comparator.comparingLong(RequestFingerprint::high).thenComparingLong(RequestFingerprint::low);

  private final Deque<EndpointCrash> crashes = new ArrayDeque<>();
  private final Map<RequestFingerprint, Integer> crashCount = new HashMap<>();
  private boolean allHostsReporting = true;

  /** Sets whether this host receives messages from all known hosts, and so knows of all crashes. */
  void allHostsReporting(boolean reporting) {
    allHostsReporting = reporting;
  }

  /** Returns whether this host receives messages from all known hosts. */
  boolean allHostsReporting() {
    return allHostsReporting;
  }

  /**
   * Adds a crash, or merges it into the known crash that it reports again.
   *
   * @param suspects tests for requests whose crashes are kept for longer than others
   * @return the added or merged crash; null if nothing changed
   */
  EndpointCrash add(EndpointCrash crash, long nowMs, Predicate<RequestFingerprint> suspects) {
    crashes.stream()
        .filter(old -> nowMs - old.atMs() > RETENTION_MS)
        .toList()
        .forEach(this::remove);
    EndpointCrash existing = findSame(crash);
    if (existing == null) {
      EndpointCrash bounded = bounded(crash);
      put(bounded);
      if (crashes.size() > MAX_CRASHES) {
        remove(evictionCandidate(suspects, nowMs));
      }
      return bounded;
    }
    EndpointCrash merged = bounded(existing.mergedWith(crash));
    if (merged.endpoint().equals(existing.endpoint())
        && merged.requests().equals(existing.requests())
        && merged.parts().equals(existing.parts())) {
      return null;
    }
    remove(existing);
    put(merged);
    return merged;
  }

  /**
   * Returns the oldest crash without a suspect among those that are unlikely to be repeated soon.
   * If there is none, returns the oldest of all, because otherwise many suspects would prevent
   * others from being detected.
   */
  private EndpointCrash evictionCandidate(Predicate<RequestFingerprint> suspects, long nowMs) {
    return crashes.stream()
        .filter(crash -> nowMs - crash.atMs() > REPEAT_WINDOW_MS)
        .filter(crash -> crash.requests().stream().noneMatch(suspects))
        .findFirst()
        .orElse(crashes.peekFirst());
  }

  private void put(EndpointCrash crash) {
    crashes.addLast(crash);
    crash.requests().forEach(request -> crashCount.merge(request, 1, Integer::sum));
  }

  private void remove(EndpointCrash crash) {
    crashes.remove(crash);
    crash
        .requests()
        .forEach(request -> crashCount.computeIfPresent(request, (key, n) -> n > 1 ? n - 1 : null));
  }

  /**
   * Returns the known crash that a report describes, the closest in time if there are several; null
   * if there is none.
   */
  private EndpointCrash findSame(EndpointCrash crash) {
    return crashes.stream()
        .filter(old -> old.isSameCrash(crash, SAME_CRASH_WINDOW_MS))
        .min(Comparator.comparingLong(old -> Math.abs(old.atMs() - crash.atMs())))
        .orElse(null);
  }

  /** Returns whether a received report is a delayed copy of a known crash. */
  boolean covers(EndpointCrash report) {
    return crashes.stream().anyMatch(crash -> crash.covers(report));
  }

  /** Returns whether this incarnation is known to have crashed at another time. */
  boolean hasCrashAtOtherTime(EndpointCrash crash) {
    return findSame(crash) == null
        && crashes.stream().anyMatch(other -> other.endpoint().equals(crash.endpoint()));
  }

  private static EndpointCrash bounded(EndpointCrash crash) {
    return crash.under(
        first(crash.requests(), MAX_REQUESTS_PER_CRASH), first(crash.parts(), MAX_PARTS_PER_CRASH));
  }

  private static Set<RequestFingerprint> first(Set<RequestFingerprint> all, int count) {
    // Sorted, because all hosts must keep the same ones.
    return all.stream().sorted(BY_HASH).limit(count).collect(Collectors.toSet());
  }

  /** Removes a request or a part from all crashes up to a time: it did not cause them. */
  void removeInnocent(RequestFingerprint innocent, long untilMs) {
    for (EndpointCrash crash : List.copyOf(crashes)) {
      if (crash.atMs() <= untilMs && crash.isUnder(innocent)) {
        remove(crash);
        put(crash.without(innocent));
      }
    }
  }

  /** Returns the crashes of endpoints that had this request. */
  List<EndpointCrash> crashesWith(RequestFingerprint request) {
    return crashes.stream().filter(crash -> crash.requests().contains(request)).toList();
  }

  /** Returns the crashes that match a predicate. */
  List<EndpointCrash> matching(Predicate<EndpointCrash> test) {
    return crashes.stream().filter(test).toList();
  }

  /** Returns the number of crashed endpoints that had this request. */
  int crashCount(RequestFingerprint request) {
    return crashCount.getOrDefault(request, 0);
  }

  /** Returns the requests of all crashes. */
  Set<RequestFingerprint> requests() {
    return new HashSet<>(crashCount.keySet());
  }

  /** Returns the parts of all crashes. */
  Set<RequestFingerprint> parts() {
    return crashes.stream().flatMap(crash -> crash.parts().stream()).collect(Collectors.toSet());
  }

  /**
   * Returns whether another endpoint crashed in the same burst without this request and without
   * another explanation.
   */
  boolean isPartOfBurst(
      EndpointCrash crash, RequestFingerprint request, Predicate<EndpointCrash> explained) {
    return crashes.stream()
        .anyMatch(
            other ->
                Math.abs(other.atMs() - crash.atMs()) <= BURST_MS
                    && !other.endpoint().equals(crash.endpoint())
                    && !other.requests().contains(request)
                    && !explained.test(other));
  }
}
