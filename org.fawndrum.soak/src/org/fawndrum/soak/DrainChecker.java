// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;

/**
 * Checks that no host sends a request to an endpoint of a drained zone, from 5 s after the store
 * accepted the drain until the zone is taken back. A host that restarts or is suspended counts 5 s
 * after that; a drain that no host can have read yet because of an outage of the store, 5 s after
 * the outage. Times are those of {@link System#nanoTime} in milliseconds. Confined to one event
 * loop.
 */
final class DrainChecker {
  /** Time for hosts to apply a drain, in milliseconds. */
  static final long APPLY_MS = 5_000;

  /** How long requests are held up by an impaired link after its end, in milliseconds. */
  private static final long HELD_UP_MS = 1_000;

  /** How long before an outage a drain may be accepted without any host reading it. */
  private static final long UNREAD_MS = 500;

  private final UnaryOperator<String> hostOf;
  private final Map<String, Drain> drains = new HashMap<>();
  private final Map<String, Long> signalledMs = new HashMap<>();
  private final Map<String, Long> impairedUntilMs = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private boolean storeDown;
  private int drainCount;
  private int arrivalsElsewhere;

  /** A drain in force, and whether an outage keeps all hosts from reading it. */
  private record Drain(long atMs, boolean unread) {}

  /**
   * Creates a checker without records.
   *
   * @param hostOf returns the host that a request was sent to, by its id; null if it is unknown
   */
  DrainChecker(UnaryOperator<String> hostOf) {
    this.hostOf = hostOf;
  }

  /** Records that a zone's drain was written to the store. */
  void recordDrained(String zone, long nowMs) {
    drainCount++;
    drains.putIfAbsent(zone, new Drain(nowMs, storeDown));
  }

  /** Records that a zone is taken back. */
  void recordTakenBack(String zone) {
    drains.remove(zone);
  }

  /** Records whether no host can read the store. */
  void recordStoreDown(boolean down, long nowMs) {
    if (down == storeDown) {
      return;
    }
    storeDown = down;
    drains.replaceAll(
        (zone, drain) -> {
          boolean maybeUnread = drain.unread() || nowMs - drain.atMs() < UNREAD_MS;
          return down
              ? new Drain(drain.atMs(), maybeUnread)
              : new Drain(drain.unread() ? nowMs : drain.atMs(), false);
        });
  }

  /** Records that a host restarts or is suspended. */
  void recordSignal(String host, long nowMs) {
    signalledMs.put(host, nowMs);
  }

  /** Records that messages to an endpoint are delayed or lost from now on. */
  void recordImpaired(String endpoint) {
    impairedUntilMs.put(endpoint, Long.MAX_VALUE);
  }

  /** Records that messages to an endpoint are not impaired any more. */
  void recordSound(String endpoint, long nowMs) {
    impairedUntilMs.put(endpoint, nowMs + HELD_UP_MS);
  }

  /** Records and checks the arrival of a request at an endpoint. */
  void recordArrival(String id, String endpoint, String zone, long nowMs) {
    Drain drain = drains.get(zone);
    boolean heldUp = nowMs < impairedUntilMs.getOrDefault(endpoint, 0L);
    if (drain == null || drain.unread() || heldUp) {
      arrivalsElsewhere += drains.isEmpty() || drain != null ? 0 : 1;
      return;
    }
    String host = hostOf.apply(id);
    long sinceMs = Math.max(drain.atMs(), signalledMs.getOrDefault(host, 0L));
    if (host != null && nowMs - sinceMs > APPLY_MS) {
      violations.add(
          String.format(
              "%s reached %s %d ms after its zone %s was drained",
              id, endpoint, nowMs - drain.atMs(), zone));
    }
  }

  /** Returns the violations found up to now. */
  List<String> violations() {
    return violations;
  }

  /** Returns the number of drains, and of the requests that went to other zones meanwhile. */
  String summary() {
    return drainCount + " drains of zones, " + arrivalsElsewhere + " requests elsewhere meanwhile";
  }
}
