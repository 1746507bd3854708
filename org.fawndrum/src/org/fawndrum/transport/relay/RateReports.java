// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.fawndrum.coordination.limit.EndpointRateLimits;
import org.fawndrum.coordination.limit.EndpointRateLimits.Statement;

/**
 * What endpoints stated about their rates, for other daemons. A change is included in all messages
 * for a while after this daemon learned of it, so that a lost message has no effect. Confined to
 * one thread; times are those of the host's clock, in milliseconds.
 */
final class RateReports {
  /** How long a change is included in all messages, in milliseconds. */
  private static final long REPORT_MS = 2_000;

  /**
   * Minimum interval of messages that are sent only to report a change, in milliseconds: an
   * endpoint may name another rate in each answer.
   */
  private static final long MIN_INTERVAL_MS = 200;

  /** Maximum number of endpoints in a message, about 40 bytes each; the latest changes. */
  private static final int MAX_REPORTED = 64;

  /** Maximum number of endpoints in a message with all that is known; the latest statements. */
  private static final int MAX_ALL = 256;

  private final EndpointRateLimits limits;
  private final Map<String, Long> changedMs = new LinkedHashMap<>();
  private boolean pending;
  private long nextMs;

  RateReports(EndpointRateLimits limits) {
    this.limits = limits;
  }

  /** Records that the rate of an endpoint changed. */
  void changed(String endpoint, long nowMs) {
    changedMs.remove(endpoint);
    changedMs.put(endpoint, nowMs);
    pending = true;
  }

  /** Returns when a message with the latest changes is due; {@link Long#MAX_VALUE} if none is. */
  long dueMs() {
    return pending ? nextMs : Long.MAX_VALUE;
  }

  /** Returns whether a message with the latest changes is to be sent now. */
  boolean takeDue(long nowMs) {
    boolean due = nowMs >= dueMs();
    if (due) {
      pending = false;
      nextMs = nowMs + MIN_INTERVAL_MS;
    }
    return due;
  }

  /** Returns the changes to include in a message sent now. */
  List<Statement> current(long nowMs) {
    changedMs.values().removeIf(atMs -> nowMs - atMs > REPORT_MS);
    if (changedMs.isEmpty()) {
      return List.of();
    }
    int excess = Math.max(0, changedMs.size() - MAX_REPORTED);
    List<String> latest = changedMs.keySet().stream().skip(excess).toList();
    return limits.statements().stream().filter(s -> latest.contains(s.endpoint())).toList();
  }

  /** Returns all that is known, for a daemon that may not know it yet. */
  Collection<Statement> all() {
    Collection<Statement> all = limits.statements();
    return all.size() <= MAX_ALL
        ? all
        : all.stream()
            .sorted(Comparator.comparingLong(Statement::receivedMs).reversed())
            .limit(MAX_ALL)
            .toList();
  }
}
