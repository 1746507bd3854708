// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.ArrayList;
import java.util.List;
import org.fawndrum.coordination.membership.FleetReport;

/**
 * The reports that a daemon gathers to pass them on, and when it does so. Confined to one thread;
 * times are those of the host's clock, in milliseconds.
 */
final class ReportBuffer {
  /** A daemon that passes reports on sends at least something in this time, in milliseconds. */
  private static final long KEEP_ALIVE_MS = 300;

  /** How long changes are gathered at least, in milliseconds. */
  private static final double GATHER_MS = 10;

  /** How long they are gathered for each receiver, if that is more; bounds messages a second. */
  private static final double GATHER_MS_PER_LINK = 0.8;

  private final List<FleetReport> reports = new ArrayList<>();
  private boolean changes;
  private long changesSinceMs;
  private long lastPassedMs;

  /** Keeps reports; whole ones only confirm what is known and can wait. */
  void gather(List<FleetReport> more, long nowMs) {
    boolean changed = more.stream().anyMatch(report -> !report.whole());
    if (changed && !changes) {
      changes = true;
      changesSinceMs = nowMs;
    }
    reports.addAll(more);
  }

  /** Returns when what was gathered is to be passed on to so many receivers. */
  long dueMs(int links) {
    long latestMs = lastPassedMs + KEEP_ALIVE_MS;
    if (!changes) {
      return latestMs;
    }
    long waitMs = Math.round(Math.max(GATHER_MS, GATHER_MS_PER_LINK * links));
    return Math.min(latestMs, changesSinceMs + waitMs);
  }

  /** Empties the buffer and returns what was gathered, in order. */
  List<FleetReport> drain(long nowMs) {
    List<FleetReport> all = List.copyOf(reports);
    reports.clear();
    changes = false;
    lastPassedMs = nowMs;
    return all;
  }
}
