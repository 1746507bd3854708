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
 * The pattern: an endpoint goes while many hosts listen to one that reads the store for them. Each
 * message of that one names the change, fifty in a second; each host asks for it once.
 */
class PeerViewsTest {
  private static final FleetMember SPEAKER = member(1, 1);
  private static final FleetMember OTHER = member(2, 1);
  private static final StorePosition READ_TO = new StorePosition(0, 100);

  /** Where a host that read up to 100 and dropped an entry then says that it changed. */
  private static final StorePosition DROPPED = new StorePosition(0, 101);

  private final PeerPositions views = new PeerPositions();

  private static FleetMember member(int host, long incarnation) {
    return new FleetMember(
        new HostIdentity("host-" + host, incarnation),
        new HostAddress("10.0.0." + host, 1),
        "zone-a",
        1);
  }

  private void ask(FleetMember peer) {
    views.replyApplied(peer.address(), views.query(peer.address(), READ_TO));
  }

  /** Hears so many messages and asks with each that calls for it; returns how often it asked. */
  private int asksIn(int messages, FleetMember peer, StorePosition changed) {
    int asks = 0;
    for (int i = 0; i < messages; i++) {
      if (views.positionReported(peer, changed, READ_TO)) {
        asks++;
        ask(peer);
      }
    }
    return asks;
  }

  @Test
  void anEntryThatWentIsAskedForOnceAndNotWithEachMessage() {
    assertEquals(1, asksIn(50, SPEAKER, DROPPED));
    StorePosition known = views.query(SPEAKER.address(), READ_TO).known();
    assertEquals(DROPPED, known, "the next regular question names it");
  }

  @Test
  void theNextOneIsAskedForAgain() {
    asksIn(50, SPEAKER, DROPPED);
    assertEquals(1, asksIn(50, SPEAKER, new StorePosition(0, 102)));
    assertEquals(1, asksIn(50, SPEAKER, new StorePosition(1, 3)), "of a later era");
  }

  @Test
  void whatOneHostDroppedSaysNothingOfAnother() {
    asksIn(1, SPEAKER, DROPPED);
    assertTrue(views.positionReported(OTHER, DROPPED, READ_TO));
  }

  @Test
  void aQuestionWithoutAnAnswerIsAskedAgain() {
    assertTrue(views.positionReported(SPEAKER, DROPPED, READ_TO));
    assertTrue(views.positionReported(SPEAKER, DROPPED, READ_TO));
  }

  @Test
  void anAnswerCoversOnlyWhatWasToldBeforeItsQuestion() {
    views.positionReported(SPEAKER, DROPPED, READ_TO);
    PeerPositions.Query question = views.query(SPEAKER.address(), READ_TO);
    views.positionReported(SPEAKER, new StorePosition(0, 102), READ_TO);
    views.replyApplied(SPEAKER.address(), question);
    assertTrue(views.positionReported(SPEAKER, new StorePosition(0, 102), READ_TO));
  }

  @Test
  void whatThisHostHasReadIsNotAskedFor() {
    assertFalse(views.positionReported(SPEAKER, READ_TO, READ_TO));
  }

  /** It counts its own drops anew, so that its places say nothing of those of before. */
  @Test
  void aPeerThatStartsAgainIsAskedFromWhatThisHostHasRead() {
    asksIn(1, SPEAKER, new StorePosition(0, 160));
    FleetMember later = member(1, 2);
    assertTrue(views.positionReported(later, DROPPED, READ_TO));
    assertEquals(READ_TO, views.query(later.address(), READ_TO).known());
  }

  @Test
  void anAnswerOfALaterIncarnationThanTheQuestionWasForIsNone() {
    PeerPositions.Query first = views.query(SPEAKER.address(), READ_TO);
    assertTrue(first.isAnsweredBy(7), "whoever is there, nothing was told before");
    views.positionReported(SPEAKER, DROPPED, READ_TO);
    PeerPositions.Query question = views.query(SPEAKER.address(), READ_TO);
    assertTrue(question.isAnsweredBy(1));
    assertFalse(question.isAnsweredBy(2));
  }
}
