// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Checks that each host in touch has a configuration in force within 2 s after the store accepted
 * it. A host is in touch if in the last 3 s the store served it over an unimpaired connection, and
 * the host was not started, stopped or suspended. What happens to other hosts is no excuse. Times
 * are those of {@link System#nanoTime} in milliseconds. Confined to one event loop.
 */
final class ConfigurationChecker {
  /** Time for hosts to apply a configuration, in milliseconds. */
  static final long APPLY_MS = 2_000;

  /** How long nothing must have happened to a host, in milliseconds. */
  static final long CONTACT_MS = 3_000;

  private static final Pattern REVISION =
      Pattern.compile("^configurationRevision (-?[0-9]+)", Pattern.MULTILINE);

  private final Deque<Written> written = new ArrayDeque<>();
  private final Map<String, Long> signalledMs = new HashMap<>();
  private final Map<String, Long> impairedUntilMs = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private long storeDownUntilMs;
  private int judged;

  /** A configuration that the store accepted. */
  private record Written(long version, long atMs) {}

  /** Records that the store accepted a configuration. */
  void recordWritten(long version, long nowMs) {
    written.addLast(new Written(version, nowMs));
  }

  /** Records whether the store serves nobody. */
  void recordStoreDown(boolean down, long nowMs) {
    storeDownUntilMs = down ? Long.MAX_VALUE : Math.min(nowMs, storeDownUntilMs);
  }

  /** Records whether a host's connections to the store are impaired. */
  void recordImpaired(String host, boolean impaired, long nowMs) {
    if (impaired) {
      impairedUntilMs.put(host, Long.MAX_VALUE);
    } else {
      impairedUntilMs.computeIfPresent(host, (name, untilMs) -> Math.min(nowMs, untilMs));
    }
  }

  /** Records that a host is started, stopped, suspended or resumed. */
  void recordSignal(String host, long nowMs) {
    signalledMs.put(host, nowMs);
  }

  /**
   * Records and checks the revision that a host has in force.
   *
   * @param metrics the host's metrics
   * @param askedMs when they were asked for
   */
  void recordMetrics(String host, String metrics, long askedMs) {
    Matcher revision = REVISION.matcher(metrics);
    if (!revision.find() || !isInTouch(host, askedMs)) {
      return;
    }
    judged++;
    Written required = null;
    for (Written configuration : written) {
      required = configuration.atMs() <= askedMs - APPLY_MS ? configuration : required;
    }
    if (required != null && Long.parseLong(revision.group(1)) < required.version()) {
      violations.add(
          String.format(
              "%s had revision %s in force %d ms after version %d was accepted",
              host, revision.group(1), askedMs - required.atMs(), required.version()));
    }
    forgetBefore(required);
  }

  private void forgetBefore(Written required) {
    Iterator<Written> older = written.iterator();
    while (required != null && older.hasNext() && older.next() != required) {
      older.remove();
    }
  }

  private boolean isInTouch(String host, long askedMs) {
    long sinceMs = askedMs - CONTACT_MS;
    return storeDownUntilMs < sinceMs
        && impairedUntilMs.getOrDefault(host, 0L) < sinceMs
        && signalledMs.getOrDefault(host, 0L) < sinceMs;
  }

  /** Returns the violations found up to now. */
  List<String> violations() {
    return violations;
  }

  /** Returns how often a revision was judged. */
  String summary() {
    return judged + " revisions in force checked";
  }
}
