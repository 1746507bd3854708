// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.fawndrum.coordination.membership.FleetMember;
import org.fawndrum.protocol.StorePosition;
import org.fawndrum.state.HostAddress;

/**
 * The positions of the last changes of the endpoints' entries that peers report, and the positions
 * up to which this host has queried each of them. A daemon that removes an entry reports a position
 * beyond the end of what it read. No read reaches that position while the log is not written to, so
 * this host's read position does not show whether the change was queried. Such positions are valid
 * for one incarnation of the daemon only. Thread-safe.
 */
final class PeerPositions {
  /** Before the first report; no incarnation has this number. */
  private static final ReportedPosition NONE = new ReportedPosition(-1, StorePosition.NONE);

  private final Map<HostAddress, ReportedPosition> reportedPositions = new ConcurrentHashMap<>();
  private final Map<HostAddress, ReportedPosition> appliedPositions = new ConcurrentHashMap<>();

  /**
   * The position that a daemon reported.
   *
   * @param incarnation the incarnation of the daemon
   * @param changed the position after the last change that the daemon knows
   */
  private record ReportedPosition(long incarnation, StorePosition changed) {}

  /**
   * A query to a peer.
   *
   * @param known the position after which changes are requested
   * @param reported the position that the peer reported before; the reply covers it
   */
  record Query(StorePosition known, ReportedPosition reported) {
    /** Returns whether a reply comes from the incarnation to whose positions the query refers. */
    boolean isAnsweredBy(long incarnation) {
      return reported == NONE || reported.incarnation() == incarnation;
    }
  }

  /**
   * Records the position that a peer reports; returns whether the peer is to be queried.
   *
   * @param changed the position after the last change that the peer knows
   * @param knownEnd the position up to which this host knows the entries
   */
  boolean positionReported(FleetMember peer, StorePosition changed, StorePosition knownEnd) {
    ReportedPosition reported = new ReportedPosition(peer.identity().incarnation(), changed);
    reportedPositions.put(peer.address(), reported);
    return changed.isAfter(knownPosition(peer.address(), reported, knownEnd));
  }

  private StorePosition knownPosition(
      HostAddress peer, ReportedPosition reported, StorePosition knownEnd) {
    ReportedPosition previous = appliedPositions.getOrDefault(peer, NONE);
    return previous.incarnation() == reported.incarnation()
        ? knownEnd.max(previous.changed())
        : knownEnd;
  }

  /** Returns the query to send to a peer now. */
  Query query(HostAddress peer, StorePosition knownEnd) {
    ReportedPosition reported = reportedPositions.getOrDefault(peer, NONE);
    return new Query(knownPosition(peer, reported, knownEnd), reported);
  }

  /** Records that the reply to a query was applied. */
  void replyApplied(HostAddress peer, Query query) {
    appliedPositions.put(peer, query.reported());
  }
}
