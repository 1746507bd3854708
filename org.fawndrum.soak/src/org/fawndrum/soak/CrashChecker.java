// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks that requests which crash engines are rejected soon and that no other request is rejected
 * for that reason. Times are those of {@link System#nanoTime} in milliseconds. Confined to one
 * event loop.
 */
final class CrashChecker {
  /** Error code in the answer to a request that is rejected because it crashes endpoints. */
  static final String REJECTED = "ends_endpoints";

  /** Crashes after which all hosts must reject a request; also the maximum number of late runs. */
  private static final int CRASH_LIMIT = 3;

  /** Time after the last of these crashes until all hosts must reject it, in milliseconds. */
  private static final long PROPAGATION_MS = 3_000;

  /**
   * How long after a signal a host is not checked, in milliseconds: on a busy machine a start takes
   * several seconds, and the updates of other hosts arrive up to one second later.
   */
  private static final long SIGNAL_GRACE_MS = 10_000;

  private final Map<String, List<Long>> crashTimesMs = new HashMap<>();
  private final Map<String, Integer> lateRuns = new HashMap<>();
  private final Map<String, String> hostsById = new HashMap<>();
  private final Map<String, Long> signalledAtMs = new HashMap<>();
  private final List<String> violations = new ArrayList<>();

  /** Records a request that crashes engines, before it is sent. */
  void recordSent(String id, String host) {
    hostsById.put(id, host);
  }

  /** Records a signal to a host. */
  void recordSignal(String host, long nowMs) {
    signalledAtMs.put(host, nowMs);
  }

  /** Records that an engine started to run a request that will crash it. */
  void recordRun(String id, String path, long nowMs) {
    String host = hostsById.get(id);
    List<Long> crashes = crashTimesMs.getOrDefault(path, List.of());
    boolean checked = nowMs - signalledAtMs.getOrDefault(host, -SIGNAL_GRACE_MS) >= SIGNAL_GRACE_MS;
    if (checked
        && crashes.size() >= CRASH_LIMIT
        && nowMs > crashes.get(CRASH_LIMIT - 1) + PROPAGATION_MS) {
      lateRuns.merge(path, 1, Integer::sum);
    }
  }

  /** Records the crash of an engine under a request; only called if hosts can observe it. */
  void recordCrash(String path, long nowMs) {
    crashTimesMs.computeIfAbsent(path, key -> new ArrayList<>()).add(nowMs);
  }

  /** Checks an answer: only requests that crash engines may be rejected for crashing them. */
  void recordAnswer(String id, String body) {
    if (body.contains(REJECTED) && !hostsById.containsKey(id)) {
      violations.add(id + " was rejected although it crashes no engine");
    }
  }

  /** Returns the violations found up to now. */
  List<String> violations() {
    List<String> all = new ArrayList<>(violations);
    lateRuns.forEach(
        (path, times) -> {
          if (times > CRASH_LIMIT) {
            all.add(path + " ran " + times + " times after it had crashed three engines");
          }
        });
    return all;
  }

  /** Returns the numbers of crashed engines and of requests that crashed them. */
  String summary() {
    int crashes = crashTimesMs.values().stream().mapToInt(List::size).sum();
    return crashes + " engines crashed under " + crashTimesMs.size() + " requests";
  }
}
