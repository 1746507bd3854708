// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.function.BiConsumer;
import org.fawndrum.state.RouteTable;
import org.fawndrum.state.TableRevision;
import org.fawndrum.transport.HostClock;

/**
 * Holds the configuration in force on this host, the drained zones, and the age of the evidence
 * that neither has changed since. Revisions only increase. Thread-safe.
 */
final class RouteStore {
  private final BiConsumer<RouteTable, TableRevision> onNewer;
  private final ZoneDrainStore drains;
  private volatile RouteTable table = RouteTable.NONE;
  private volatile long confirmedAtMs = HostClock.NEVER_MS;

  RouteStore(BiConsumer<RouteTable, TableRevision> onNewer, ZoneDrainStore drains) {
    this.onNewer = onNewer;
    this.drains = drains;
  }

  RouteTable table() {
    return table;
  }

  /** Returns the drained zones. */
  ZoneDrainStore drains() {
    return drains;
  }

  /** Applies a revision if it is newer than the one in force; returns whether it was. */
  synchronized boolean offer(RouteTable newer) {
    if (newer.revision() <= table.revision()) {
      return false;
    }
    TableRevision rows = RouteRows.of(newer);
    table = newer;
    onNewer.accept(newer, rows);
    return true;
  }

  /**
   * Records that the revision in force was the newest one at a given time, and that no drains later
   * than those known existed then.
   *
   * @param atMs the time at which the query was sent that confirmed this, by the host's clock
   */
  synchronized void confirm(long atMs) {
    confirmedAtMs = Math.max(confirmedAtMs, atMs);
  }

  /**
   * Returns the time since the revision in force was last confirmed as the newest, in milliseconds.
   */
  long ageMs(long nowMs) {
    return nowMs - confirmedAtMs;
  }
}
