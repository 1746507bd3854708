// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.membership;

import java.util.List;
import java.util.Optional;
import org.fawndrum.coordination.engine.EngineUpdate;
import org.fawndrum.state.HostIdentity;

/**
 * A report of one daemon about its jobs at endpoints.
 *
 * @param from the daemon that the report is about
 * @param member the daemon's description of itself; present if the report is complete
 * @param sequence increases with each report of an incarnation
 * @param zone the zone of the endpoints that the updates are about, or {@link #ALL_ZONES}
 * @param complete whether the updates list all jobs of the daemon
 * @param updates the updates, in an order in which each can be applied
 */
public record FleetReport(
    HostIdentity from,
    Optional<FleetMember> member,
    long sequence,
    String zone,
    boolean complete,
    List<EngineUpdate> updates) {
  /** Used instead of a zone if the endpoints may be in any zone. */
  public static final String ALL_ZONES = "";

  /** Copies the list to make the report immutable. */
  public FleetReport {
    updates = List.copyOf(updates);
  }

  /** Returns whether daemons of a zone should receive the updates without delay. */
  public boolean concerns(String daemonsZone) {
    return zone.equals(ALL_ZONES) || zone.equals(daemonsZone);
  }
}
