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

/**
 * The last endpoints that ended while they had requests, and what may have ended them. Confined to
 * one thread; times are those of the host's clock, in milliseconds.
 */
final class CrashHistory {
  /** The crashes that are kept; a fleet of some hundred engines loses a few in an hour. */
  static final int MOST_CRASHES = 64;

  /** The requests that are kept of one crash: what an engine works on, with its queue. */
  static final int MOST_UNDER = 32;

  /** How long a crash is kept: a caller that comes again after more is rare. */
  static final long KEEP_MS = 600_000;

  /** Within this time most requests that end an endpoint come again, in milliseconds. */
  private static final long REPEATED_MS = 10_000;

  /** Two reports that no start tells apart, within this time, are of one crash. */
  private static final long SAME_CRASH_MS = 1_000;

  /**
   * Endpoints that end within this time of each other may have ended together, with their rack or
   * their zone. One request ends an engine about a quarter of a second after it was sent there.
   */
  static final long TOGETHER_MS = 150;

  private static final Comparator<RequestFingerprint> BY_HASH =
      Comparator.comparingLong(RequestFingerprint::high).thenComparingLong(RequestFingerprint::low);

  private final Deque<EndpointCrash> crashes = new ArrayDeque<>();
  private final Map<RequestFingerprint, Integer> times = new HashMap<>();
  private boolean hearsAll = true;

  /** Takes note whether the host hears all others that it knows, and so all that ended. */
  void hearsAll(boolean all) {
    hearsAll = all;
  }

  /** Tells whether the host hears all others that it knows. */
  boolean hearsAll() {
    return hearsAll;
  }

  /**
   * Adds a crash, or what is new of a known one; returns what was new, or null.
   *
   * @param suspects tells of which requests crashes are kept for longer than others
   */
  EndpointCrash add(EndpointCrash crash, long nowMs, Predicate<RequestFingerprint> suspects) {
    crashes.stream().filter(old -> nowMs - old.atMs() > KEEP_MS).toList().forEach(this::remove);
    EndpointCrash known = known(crash);
    if (known == null) {
      EndpointCrash bounded = bounded(crash, crash.under());
      put(bounded);
      if (crashes.size() > MOST_CRASHES) {
        remove(leastTelling(suspects, nowMs));
      }
      return bounded;
    }
    Set<RequestFingerprint> under = new HashSet<>(known.under());
    under.addAll(crash.under());
    EndpointCrash merged = bounded(known.and(crash, under), under);
    if (merged.endpoint().equals(known.endpoint()) && merged.under().equals(known.under())) {
      return null;
    }
    remove(known);
    put(merged);
    return merged;
  }

  /**
   * Returns the oldest crash that says nothing of a suspect and may soon say no more; the oldest of
   * all where there is none, so that many suspects do not keep others from being found.
   */
  private EndpointCrash leastTelling(Predicate<RequestFingerprint> suspects, long nowMs) {
    return crashes.stream()
        .filter(crash -> nowMs - crash.atMs() > REPEATED_MS)
        .filter(crash -> crash.under().stream().noneMatch(suspects))
        .findFirst()
        .orElse(crashes.peekFirst());
  }

  private void put(EndpointCrash crash) {
    crashes.addLast(crash);
    crash.under().forEach(one -> times.merge(one, 1, Integer::sum));
  }

  private void remove(EndpointCrash crash) {
    crashes.remove(crash);
    crash.under().forEach(one -> times.computeIfPresent(one, (key, n) -> n > 1 ? n - 1 : null));
  }

  /** Returns the known crash that one is, the nearest of several; null where it is another. */
  private EndpointCrash known(EndpointCrash crash) {
    return crashes.stream()
        .filter(old -> old.isTheEndOf(crash, SAME_CRASH_MS))
        .min(Comparator.comparingLong(old -> Math.abs(old.atMs() - crash.atMs())))
        .orElse(null);
  }

  /** Tells whether a report that was told is a late copy of what is known. */
  boolean covers(EndpointCrash told) {
    return crashes.stream().anyMatch(one -> one.covers(told));
  }

  /** Tells whether the start that ended is known to have ended at another time. */
  boolean knowsAnotherEnd(EndpointCrash crash) {
    return known(crash) == null
        && crashes.stream().anyMatch(one -> one.endpoint().equals(crash.endpoint()));
  }

  private static EndpointCrash bounded(EndpointCrash crash, Set<RequestFingerprint> under) {
    Set<RequestFingerprint> kept = new HashSet<>();
    // Every host keeps the same ones.
    under.stream().sorted(BY_HASH).limit(MOST_UNDER).forEach(kept::add);
    return crash.with(kept);
  }

  /** Takes a request out of the crashes up to a time: it did not cause them. */
  void absolve(RequestFingerprint request, long untilMs) {
    for (EndpointCrash crash : List.copyOf(crashes)) {
      if (crash.atMs() <= untilMs && crash.under().contains(request)) {
        Set<RequestFingerprint> others = new HashSet<>(crash.under());
        others.remove(request);
        remove(crash);
        put(crash.with(others));
      }
    }
  }

  /** Returns the crashes of endpoints that had a request. */
  List<EndpointCrash> under(RequestFingerprint request) {
    return crashes.stream().filter(crash -> crash.under().contains(request)).toList();
  }

  /** Returns the crashes that pass a test. */
  List<EndpointCrash> where(Predicate<EndpointCrash> test) {
    return crashes.stream().filter(test).toList();
  }

  /** Returns under how many endpoints that ended a request was. */
  int times(RequestFingerprint request) {
    return times.getOrDefault(request, 0);
  }

  /** Returns the requests of all crashes. */
  Set<RequestFingerprint> requests() {
    return new HashSet<>(times.keySet());
  }

  /** Tells whether another endpoint ended together with one, and not under this request. */
  boolean isOneOfSeveral(
      EndpointCrash crash, RequestFingerprint request, Predicate<EndpointCrash> explained) {
    return crashes.stream()
        .anyMatch(
            other ->
                Math.abs(other.atMs() - crash.atMs()) <= TOGETHER_MS
                    && !other.endpoint().equals(crash.endpoint())
                    && !other.under().contains(request)
                    && !explained.test(other));
  }
}
