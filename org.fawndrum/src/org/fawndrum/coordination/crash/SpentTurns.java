// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.fawndrum.state.HostIdentity;

/**
 * In how many turns suspected requests ran in vain, at all hosts. Each host counts its own; of two
 * counts of a host the higher one holds, so that order and repetition of news change nothing.
 * Confined to the ledger's thread; times are those of the host's clock, in milliseconds.
 */
final class SpentTurns {
  /** After how many turns without an answer a request is quarantined; operators allow three. */
  static final int MOST_TURNS = 3;

  /** For how long, after each from then on: longer than a request and its repeats last. */
  static final long QUARANTINE_MS = 60_000;

  /** The requests that are kept at most; beyond, the one whose turn was spent longest ago goes. */
  private static final int MOST_REQUESTS = 256;

  private final Map<RequestFingerprint, Map<HostIdentity, SpentTurn>> spent = new LinkedHashMap<>();

  /** Takes note of a turn that was spent at this host; returns what others have to know. */
  SpentTurn spend(SuspectTurn turn) {
    SpentTurn before = of(turn.request()).get(turn.host());
    int turns = before == null ? 1 : before.turns() + 1;
    SpentTurn now = new SpentTurn(turn.request(), turn.host(), turns, turn.atMs());
    heard(now);
    return now;
  }

  /** Takes note of what a host counted; returns whether it is news. */
  boolean heard(SpentTurn told) {
    SpentTurn known = of(told.request()).get(told.host());
    if (known != null && known.turns() >= told.turns()) {
      return false;
    }
    Map<HostIdentity, SpentTurn> all = new HashMap<>(of(told.request()));
    all.put(told.host(), told);
    BoundedMaps.putLast(spent, told.request(), all, MOST_REQUESTS);
    return true;
  }

  private Map<HostIdentity, SpentTurn> of(RequestFingerprint request) {
    return spent.getOrDefault(request, Map.of());
  }

  /**
   * Returns until when no copy of a request runs; 0 for one that is not quarantined. Evidence that
   * does not come is no reason to risk one endpoint after the other.
   *
   * @param ends the endpoints that ended under it in its turns, whatever else may explain them
   */
  long quarantinedUntilMs(RequestFingerprint request, List<EndpointCrash> ends) {
    int turns = ends.size();
    long lastMs = ends.stream().mapToLong(EndpointCrash::atMs).max().orElse(0);
    for (SpentTurn one : of(request).values()) {
      turns += one.turns();
      lastMs = Math.max(lastMs, one.atMs());
    }
    return turns < MOST_TURNS ? 0 : lastMs + QUARANTINE_MS;
  }

  /** Returns the counts of all requests. */
  List<SpentTurn> all() {
    return spent.values().stream().flatMap(one -> one.values().stream()).toList();
  }

  /** Forgets what was counted of a request up to a time: it was answered then. */
  void forget(RequestFingerprint request, long untilMs) {
    Map<HostIdentity, SpentTurn> later = new HashMap<>(of(request));
    later.values().removeIf(one -> one.atMs() <= untilMs);
    if (later.isEmpty()) {
      spent.remove(request);
    } else {
      spent.put(request, later);
    }
  }
}
