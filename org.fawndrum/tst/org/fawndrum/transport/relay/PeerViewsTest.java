// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.fawndrum.protocol.StorePosition;
import org.fawndrum.state.HostAddress;
import org.junit.jupiter.api.Test;

/**
 * The pattern: an endpoint goes while many hosts listen to one that reads the store for them. Each
 * message of that one names the change, fifty in a second; each host asks for it once.
 */
class PeerViewsTest {
  private static final HostAddress SPEAKER = new HostAddress("10.0.0.1", 1);
  private static final HostAddress OTHER = new HostAddress("10.0.0.2", 1);
  private static final StorePosition READ_TO = new StorePosition(0, 100);

  /** Where a host that read up to 100 and dropped an entry then says that it changed. */
  private static final StorePosition DROPPED = new StorePosition(0, 101);

  private final PeerViews views = new PeerViews();

  /** Hears so many messages and asks with each that calls for it; returns how often it asked. */
  private int asksIn(int messages, HostAddress peer, StorePosition changed) {
    int asks = 0;
    for (int i = 0; i < messages; i++) {
      if (views.told(peer, changed, READ_TO)) {
        asks++;
        views.taken(peer, views.lastTold(peer));
      }
    }
    return asks;
  }

  @Test
  void anEntryThatWentIsAskedForOnceAndNotWithEachMessage() {
    assertEquals(1, asksIn(50, SPEAKER, DROPPED));
    assertEquals(DROPPED, views.knownOf(SPEAKER, READ_TO), "the next regular question names it");
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
    assertTrue(views.told(OTHER, DROPPED, READ_TO));
  }

  @Test
  void aQuestionWithoutAnAnswerIsAskedAgain() {
    assertTrue(views.told(SPEAKER, DROPPED, READ_TO));
    assertTrue(views.told(SPEAKER, DROPPED, READ_TO));
  }

  @Test
  void anAnswerCoversOnlyWhatWasToldBeforeItsQuestion() {
    views.told(SPEAKER, DROPPED, READ_TO);
    StorePosition covered = views.lastTold(SPEAKER);
    views.told(SPEAKER, new StorePosition(0, 102), READ_TO);
    views.taken(SPEAKER, covered);
    assertTrue(views.told(SPEAKER, new StorePosition(0, 102), READ_TO));
  }

  @Test
  void whatThisHostHasReadIsNotAskedFor() {
    assertFalse(views.told(SPEAKER, READ_TO, READ_TO));
  }
}
