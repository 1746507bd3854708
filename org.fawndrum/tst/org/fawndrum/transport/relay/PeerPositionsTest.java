// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.fawndrum.coordination.membership.FleetMember;
import org.fawndrum.protocol.StorePosition;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.junit.jupiter.api.Test;

/**
 * An endpoint is removed while many hosts receive messages of the zone leader, which reads the
 * store for them. Each of its messages, fifty a second, contains the position of the change; each
 * host is to query it only once.
 */
class PeerPositionsTest {
  private static final FleetMember LEADER = member(1, 1);
  private static final FleetMember OTHER = member(2, 1);
  private static final StorePosition KNOWN_END = new StorePosition(0, 100);

  /** The position that a host reports after it read up to 100 and then removed an entry. */
  private static final StorePosition REMOVED = new StorePosition(0, 101);

  private final PeerPositions positions = new PeerPositions();

  private static FleetMember member(int host, long incarnation) {
    return new FleetMember(
        new HostIdentity("host-" + host, incarnation),
        new HostAddress("10.0.0." + host, 1),
        "zone-a",
        1);
  }

  private void query(FleetMember peer) {
    positions.replyApplied(peer.address(), positions.query(peer.address(), KNOWN_END));
  }

  /**
   * Receives this many messages and sends a query whenever one requires it; returns the number of
   * queries.
   */
  private int queriesFor(int messages, FleetMember peer, StorePosition changed) {
    int queries = 0;
    for (int i = 0; i < messages; i++) {
      if (positions.positionReported(peer, changed, KNOWN_END)) {
        queries++;
        query(peer);
      }
    }
    return queries;
  }

  @Test
  void removalIsQueriedOnceNotWithEachMessage() {
    assertEquals(1, queriesFor(50, LEADER, REMOVED));
    StorePosition known = positions.query(LEADER.address(), KNOWN_END).known();
    assertEquals(REMOVED, known, "the next regular query contains it");
  }

  @Test
  void nextChangeIsQueriedAgain() {
    queriesFor(50, LEADER, REMOVED);
    assertEquals(1, queriesFor(50, LEADER, new StorePosition(0, 102)));
    assertEquals(1, queriesFor(50, LEADER, new StorePosition(1, 3)), "of a later epoch");
  }

  @Test
  void positionsOfDifferentPeersAreIndependent() {
    queriesFor(1, LEADER, REMOVED);
    assertTrue(positions.positionReported(OTHER, REMOVED, KNOWN_END));
  }

  @Test
  void unansweredQueryIsRepeated() {
    assertTrue(positions.positionReported(LEADER, REMOVED, KNOWN_END));
    assertTrue(positions.positionReported(LEADER, REMOVED, KNOWN_END));
  }

  @Test
  void replyCoversOnlyPositionsReportedBeforeItsQuery() {
    positions.positionReported(LEADER, REMOVED, KNOWN_END);
    PeerPositions.Query query = positions.query(LEADER.address(), KNOWN_END);
    positions.positionReported(LEADER, new StorePosition(0, 102), KNOWN_END);
    positions.replyApplied(LEADER.address(), query);
    assertTrue(positions.positionReported(LEADER, new StorePosition(0, 102), KNOWN_END));
  }

  @Test
  void positionsAlreadyReadAreNotQueried() {
    assertFalse(positions.positionReported(LEADER, KNOWN_END, KNOWN_END));
  }

  /**
   * A restarted peer counts its removals anew, so its positions are not comparable with the
   * previous ones.
   */
  @Test
  void restartedPeerIsQueriedFromThePositionRead() {
    queriesFor(1, LEADER, new StorePosition(0, 160));
    FleetMember later = member(1, 2);
    assertTrue(positions.positionReported(later, REMOVED, KNOWN_END));
    assertEquals(KNOWN_END, positions.query(later.address(), KNOWN_END).known());
  }

  @Test
  void replyOfALaterIncarnationIsIgnored() {
    PeerPositions.Query first = positions.query(LEADER.address(), KNOWN_END);
    assertTrue(first.isAnsweredBy(7), "any incarnation, nothing was reported before");
    positions.positionReported(LEADER, REMOVED, KNOWN_END);
    PeerPositions.Query query = positions.query(LEADER.address(), KNOWN_END);
    assertTrue(query.isAnsweredBy(1));
    assertFalse(query.isAnsweredBy(2));
  }
}
