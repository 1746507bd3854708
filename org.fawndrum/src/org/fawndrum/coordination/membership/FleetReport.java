// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.membership;

import java.util.List;
import java.util.Optional;
import org.fawndrum.coordination.engine.EngineNews;
import org.fawndrum.state.HostIdentity;

/**
 * What one daemon reports about its work at endpoints.
 *
 * @param from the daemon that the report is about
 * @param member how the daemon describes itself; present when the report is whole
 * @param sequence grows with each report of one incarnation
 * @param zone the zone of the endpoints that the news are about, or {@link #EVERYWHERE}
 * @param whole whether the news name all work of the daemon
 * @param news the news, in an order in which each can be understood
 */
public record FleetReport(
    HostIdentity from,
    Optional<FleetMember> member,
    long sequence,
    String zone,
    boolean whole,
    List<EngineNews> news) {
  /** In place of a zone: the endpoints may be anywhere. */
  public static final String EVERYWHERE = "";

  /** Copies the list, so that the report cannot change. */
  public FleetReport {
    news = List.copyOf(news);
  }

  /** Tells whether daemons of a zone should know of the news as soon as they come. */
  public boolean concerns(String daemonsZone) {
    return zone.equals(EVERYWHERE) || zone.equals(daemonsZone);
  }
}
