// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The requests, and the parts of prompts, that are rejected now. Bounded: the one that arrived
 * longest ago is removed first. Confined to one thread; times are those of the host's clock, in
 * milliseconds.
 */
final class Rejections {
  private final Map<RequestFingerprint, Rejection> rejected = new LinkedHashMap<>();
  private boolean hasParts;

  /** A rejection and the time of the last arrival under it. */
  private static final class Rejection {
    final RejectedRequest record;
    long lastArrivalMs;

    Rejection(RejectedRequest record, long lastArrivalMs) {
      this.record = record;
      this.lastArrivalMs = lastArrivalMs;
    }

    boolean isExpired(long nowMs) {
      return nowMs - lastArrivalMs > CrashRegistry.REJECTION_EXPIRY_MS;
    }
  }

  void add(RejectedRequest record, long nowMs) {
    Rejection rejection = new Rejection(record, nowMs);
    BoundedMaps.putLast(rejected, record.request(), rejection, CrashRegistry.MAX_REJECTED);
    findParts();
  }

  /** Removes the rejections under which nothing has arrived for long; returns whether any was. */
  boolean removeExpired(long nowMs) {
    boolean removed = rejected.values().removeIf(rejection -> rejection.isExpired(nowMs));
    findParts();
    return removed;
  }

  /** Removes a rejection that is no later than a time; returns whether there was one. */
  boolean removeUntil(RequestFingerprint subject, long untilMs) {
    Rejection rejection = rejected.get(subject);
    if (rejection == null || rejection.record.sinceMs() > untilMs) {
      return false;
    }
    rejected.remove(subject);
    findParts();
    return true;
  }

  private void findParts() {
    hasParts = rejected.keySet().stream().anyMatch(RequestFingerprint::isPart);
  }

  /** Returns whether a subject is rejected, and records an arrival under it. */
  boolean arrived(RequestFingerprint subject, long nowMs) {
    Rejection rejection = rejected.get(subject);
    if (rejection == null || rejection.isExpired(nowMs)) {
      return false;
    }
    rejection.lastArrivalMs = nowMs;
    rejected.remove(subject);
    rejected.put(subject, rejection);
    return true;
  }

  boolean contains(RequestFingerprint subject) {
    return rejected.containsKey(subject);
  }

  /** Returns whether any part is rejected. */
  boolean hasParts() {
    return hasParts;
  }

  /** Returns since when a subject is rejected; it must be. */
  long sinceMs(RequestFingerprint subject) {
    return rejected.get(subject).record.sinceMs();
  }

  Set<RequestFingerprint> subjects() {
    return rejected.keySet();
  }

  List<RejectedRequest> list() {
    return rejected.values().stream().map(rejection -> rejection.record).toList();
  }
}
