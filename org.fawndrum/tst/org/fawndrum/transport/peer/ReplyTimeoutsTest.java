// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.fawndrum.state.HostAddress;
import org.junit.jupiter.api.Test;

/**
 * After a loss of power, hosts closed their connections to the host that was to answer them and
 * opened new ones, once a second, because it was late; accepting them took the time that its
 * answers needed.
 */
class ReplyTimeoutsTest {
  private static final long FIRST_MS = 1_000;
  private static final HostAddress LATE = new HostAddress("10.0.0.1", 7);
  private static final HostAddress OTHER = new HostAddress("10.0.0.2", 7);

  private final ReplyTimeouts timeouts = new ReplyTimeouts(FIRST_MS);

  /** Returns how many connections a minute brings if none of them brings a reply. */
  private int connectionsInAMinute() {
    int opened = 1;
    long openedMs = 0;
    for (long nowMs = 0; nowMs < 60_000; nowMs += FIRST_MS / 2) {
      if (timeouts.givesUp(LATE, nowMs - openedMs)) {
        openedMs = nowMs;
        opened++;
      }
    }
    return opened;
  }

  @Test
  void aHostThatNeverRepliesGetsFewNewConnections() {
    // After 1, 2, 4 and 8 s, and then each 8 s.
    assertEquals(10, connectionsInAMinute());
  }

  @Test
  void aConnectionThatFellSilentIsGivenUpAtOnce() {
    assertFalse(timeouts.givesUp(LATE, FIRST_MS - 1));
    assertTrue(timeouts.givesUp(LATE, FIRST_MS));
    timeouts.replied(LATE);
    assertTrue(timeouts.givesUp(LATE, FIRST_MS));
  }

  @Test
  void eachHostHasATimeoutOfItsOwn() {
    assertTrue(timeouts.givesUp(LATE, FIRST_MS));
    assertFalse(timeouts.givesUp(LATE, FIRST_MS));
    assertTrue(timeouts.givesUp(OTHER, FIRST_MS));
  }
}
