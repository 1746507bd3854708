// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.ArrayList;
import java.util.List;
import org.fawndrum.coordination.membership.FleetReport;

/**
 * Buffers the reports that a daemon forwards and determines when they are due. Confined to one
 * thread; times are those of the host's clock, in milliseconds.
 */
final class ReportBuffer {
  /** Maximum interval at which a daemon that forwards reports sends a message, in milliseconds. */
  private static final long MAX_INTERVAL_MS = 300;

  /** Minimum time for which changes are gathered, in milliseconds. */
  private static final double MIN_GATHER_MS = 10;

  /**
   * Time for which changes are gathered per receiver, in milliseconds, if that results in more;
   * limits the number of messages a second.
   */
  private static final double GATHER_MS_PER_RECEIVER = 0.8;

  private final List<FleetReport> reports = new ArrayList<>();
  private boolean hasChanges;
  private long changesSinceMs;
  private long lastDrainedMs;

  /** Adds reports. Complete reports only confirm known state and can wait. */
  void add(List<FleetReport> added, long nowMs) {
    boolean changed = added.stream().anyMatch(report -> !report.complete());
    if (changed && !hasChanges) {
      hasChanges = true;
      changesSinceMs = nowMs;
    }
    reports.addAll(added);
  }

  /** Returns when the buffered reports are due for this number of receivers. */
  long dueMs(int receivers) {
    long latestMs = lastDrainedMs + MAX_INTERVAL_MS;
    if (!hasChanges) {
      return latestMs;
    }
    long waitMs = Math.round(Math.max(MIN_GATHER_MS, GATHER_MS_PER_RECEIVER * receivers));
    return Math.min(latestMs, changesSinceMs + waitMs);
  }

  /** Removes and returns the buffered reports, in order. */
  List<FleetReport> drain(long nowMs) {
    List<FleetReport> drained = List.copyOf(reports);
    reports.clear();
    hasChanges = false;
    lastDrainedMs = nowMs;
    return drained;
  }
}
