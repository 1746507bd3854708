// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Schedules the deadline checks of requests, earliest first. Confined to one thread. */
final class DeadlineChecks {
  private final PriorityQueue<Check> checks =
      new PriorityQueue<>(Comparator.comparingLong(Check::atMs));

  /** The time of a request's next check. */
  private record Check(long atMs, String requestId) {}

  void add(long atMs, String requestId) {
    checks.add(new Check(atMs, requestId));
  }

  /** Removes and returns a request that is due, or null if none is. */
  String pollDue(long nowMs) {
    return nextDueMs() <= nowMs ? checks.poll().requestId() : null;
  }

  /** Returns when the next request is due, or {@link Long#MAX_VALUE} if there is none. */
  long nextDueMs() {
    return checks.isEmpty() ? Long.MAX_VALUE : checks.peek().atMs();
  }
}
