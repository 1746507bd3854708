// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks that callers of hosts without links to endpoints are served like those of other hosts:
 * from 3 s after the loss on, at least two thirds as often, or all but ten and one in fifty. Hosts
 * count from 5 s after a signal on. Times are those of {@link System#nanoTime} in milliseconds.
 * Confined to one event loop.
 */
final class LinkChecker {
  /** Time for hosts to find another way, in milliseconds. */
  static final long CONTACT_MS = 3_000;

  /**
   * Time for hosts to serve again after a signal, in milliseconds: more than a planned stop takes,
   * during which they refuse requests. Its end is recorded as another signal.
   */
  private static final long SIGNAL_MS = SoakSite.GRACE_MS + 1_000;

  private static final int ALLOWED_FAILURES = 10;
  private static final int REQUESTS_PER_FAILURE = 50;

  private final Set<String> hosts = new HashSet<>();
  private final Map<String, Long> lostSinceMs = new HashMap<>();
  private final Map<String, Long> signalledMs = new HashMap<>();
  private final Map<String, Group> groups = new HashMap<>();
  private final Group without = new Group();
  private final Group with = new Group();
  private int losses;

  /** Requests at hosts with links, or at hosts without. */
  private static final class Group {
    final Set<String> sent = new HashSet<>();
    final Set<String> served = new HashSet<>();

    @Override
    public String toString() {
      return served.size() + " of " + sent.size();
    }
  }

  /** Records that a host lost its links, or got them back. */
  void recordLinks(String host, boolean lost, long nowMs) {
    if (!lost) {
      lostSinceMs.remove(host);
    } else if (lostSinceMs.putIfAbsent(host, nowMs) == null) {
      losses++;
    }
  }

  /** Records a signal to a host. */
  void recordSignal(String host, long nowMs) {
    signalledMs.put(host, nowMs);
  }

  /** Records a request, sent for the first time. */
  void recordSent(String id, String host, long nowMs) {
    hosts.add(host);
    Long sinceMs = lostSinceMs.get(host);
    boolean settling = sinceMs != null && nowMs - sinceMs < CONTACT_MS;
    if (comparable(nowMs) && isSteady(host, nowMs) && !settling) {
      Group group = sinceMs == null ? with : without;
      group.sent.add(id);
      groups.put(id, group);
    }
  }

  /** Whether there are hosts of both kinds. */
  private boolean comparable(long nowMs) {
    boolean anyWithout =
        lostSinceMs.values().stream().anyMatch(sinceMs -> nowMs - sinceMs >= CONTACT_MS);
    boolean anyWith =
        hosts.stream().anyMatch(host -> !lostSinceMs.containsKey(host) && isSteady(host, nowMs));
    return anyWithout && anyWith;
  }

  private boolean isSteady(String host, long nowMs) {
    return nowMs - signalledMs.getOrDefault(host, Long.MIN_VALUE / 2) >= SIGNAL_MS;
  }

  /** Records that a request was served. */
  void recordServed(String id) {
    Group group = groups.get(id);
    if (group != null) {
      group.served.add(id);
    }
  }

  /** Returns the violations. */
  List<String> violations() {
    List<String> violations = new ArrayList<>();
    int sent = without.sent.size();
    int failed = sent - without.served.size();
    boolean manyFailed = failed > ALLOWED_FAILURES + sent / REQUESTS_PER_FAILURE;
    boolean lessThanTwoThirds =
        3L * without.served.size() * with.sent.size() < 2L * with.served.size() * sent;
    if (manyFailed && lessThanTwoThirds) {
      violations.add("hosts without links served " + without + " requests, the others " + with);
    }
    return violations;
  }

  /** Returns the number of losses, and how many requests were served. */
  String summary() {
    return losses + " losses of links, " + without + " served without links, " + with + " with";
  }
}
