// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.function.BiConsumer;
import org.fawndrum.state.RouteTable;
import org.fawndrum.state.TableRevision;
import org.fawndrum.transport.HostClock;

/**
 * The configuration in force on this host, and how old the evidence is that no newer one exists.
 * Revisions only rise. Safe for all threads.
 */
final class RouteStore {
  private final BiConsumer<RouteTable, TableRevision> onNewer;
  private volatile RouteTable table = RouteTable.NONE;
  private volatile long knownAtMs = HostClock.NEVER_MS;

  RouteStore(BiConsumer<RouteTable, TableRevision> onNewer) {
    this.onNewer = onNewer;
  }

  RouteTable table() {
    return table;
  }

  /** Takes over a revision unless it is older than the one in force; returns whether it was. */
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
   * Takes note that the revision in force was the newest one at a time.
   *
   * @param atMs the time, by the host's clock, at which the question was sent that proved it
   */
  synchronized void confirmed(long atMs) {
    knownAtMs = Math.max(knownAtMs, atMs);
  }

  /** Returns how long ago the revision in force was surely the newest, in milliseconds. */
  long ageMs(long nowMs) {
    return nowMs - knownAtMs;
  }
}
