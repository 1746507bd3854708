// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.Comparator;
import java.util.PriorityQueue;

/** When which request is looked at again, the earliest first. Confined to one thread. */
final class DeadlineChecks {
  private final PriorityQueue<Check> checks =
      new PriorityQueue<>(Comparator.comparingLong(Check::atMs));

  /** A time at which a request is looked at again. */
  private record Check(long atMs, String requestId) {}

  void add(long atMs, String requestId) {
    checks.add(new Check(atMs, requestId));
  }

  /** Takes out a request that is due; returns null when none is. */
  String takeDue(long nowMs) {
    return nextMs() <= nowMs ? checks.poll().requestId() : null;
  }

  /** Returns when the next request is due, or {@link Long#MAX_VALUE}. */
  long nextMs() {
    return checks.isEmpty() ? Long.MAX_VALUE : checks.peek().atMs();
  }
}
