// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Checks that callers are served again after all hosts have lost power: of the requests sent later
 * than a bound after the hosts were started again, at least a quarter is served, if before the loss
 * a quarter was. Each attempt of a caller is a request. Times are those of {@link System#nanoTime}
 * in milliseconds. Thread-safe.
 */
final class RecoveryChecker {
  private static final int MIN_SERVED_PARTS = 4;
  private static final long MS_PER_SECOND = 1_000;

  /** A time that never comes; the time to recover can be added to it. */
  private static final long NEVER_MS = Long.MAX_VALUE / 2;

  private final long recoveryMs;
  private final Map<String, Long> sentMs = new HashMap<>();
  private final TreeMap<Long, Second> seconds = new TreeMap<>();
  private final Count before = new Count();
  private final Count after = new Count();
  private long startMs = Long.MIN_VALUE;
  private long lostMs = NEVER_MS;
  private long returnedMs = NEVER_MS;

  /** Requests sent, and those of them that were served. */
  private static final class Count {
    private int sent;
    private int served;

    private boolean isQuarterServed() {
      return MIN_SERVED_PARTS * served >= sent;
    }

    @Override
    public String toString() {
      return served + " of " + sent;
    }
  }

  /** What happened to the requests sent in one second. */
  private static final class Second {
    private final Count count = new Count();
    private final Map<String, Integer> outcomes = new TreeMap<>();
  }

  /**
   * Creates a checker without records.
   *
   * @param recoveryMs time for hosts to serve again after their start, in milliseconds
   */
  RecoveryChecker(long recoveryMs) {
    this.recoveryMs = recoveryMs;
  }

  /** Records that all hosts lose power. */
  synchronized void recordLost(long nowMs) {
    lostMs = nowMs;
  }

  /** Records that all hosts have been started again. */
  synchronized void recordReturned(long nowMs) {
    returnedMs = nowMs;
  }

  /** Records a request before it is sent. */
  synchronized void recordSent(String id, long nowMs) {
    if (startMs == Long.MIN_VALUE) {
      startMs = nowMs;
    }
    sentMs.put(id, nowMs);
    second(nowMs).count.sent++;
    Count count = count(nowMs);
    if (count != null) {
      count.sent++;
    }
  }

  /** Records how a request ended. */
  synchronized void recordOutcome(String id, boolean served, String outcome) {
    long atMs = sentMs.get(id);
    Second second = second(atMs);
    second.outcomes.merge(outcome, 1, Integer::sum);
    if (served) {
      second.count.served++;
      Count count = count(atMs);
      if (count != null) {
        count.served++;
      }
    }
  }

  private Second second(long atMs) {
    return seconds.computeIfAbsent((atMs - startMs) / MS_PER_SECOND, at -> new Second());
  }

  private Count count(long atMs) {
    if (atMs < lostMs) {
      return before;
    }
    return atMs > returnedMs + recoveryMs ? after : null;
  }

  /** Returns the violations. */
  synchronized List<String> violations() {
    List<String> violations = new ArrayList<>();
    if (before.isQuarterServed() && !after.isQuarterServed()) {
      violations.add(
          "served "
              + after
              + " requests sent later than "
              + recoveryMs
              + " ms after all hosts had started again, before "
              + before);
    }
    return violations;
  }

  /** Returns how many requests were served before and after. */
  synchronized String summary() {
    return "served " + before + " before the loss, " + after + " after the time to recover";
  }

  /** Returns a line for each second in which requests were sent. */
  synchronized List<String> timeline() {
    List<String> lines = new ArrayList<>();
    seconds.forEach(
        (at, second) -> {
          long sinceReturnMs = startMs + at * MS_PER_SECOND - returnedMs;
          String since = returnedMs == NEVER_MS ? "" : ", " + sinceReturnMs + " ms after the start";
          lines.add("second " + at + since + ": " + second.count + " " + second.outcomes);
        });
    return lines;
  }
}
