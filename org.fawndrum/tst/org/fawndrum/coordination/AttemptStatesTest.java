// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** "Not run" is said only while nothing can have been sent, or on somebody's word. */
class AttemptStatesTest {
  @Property(tries = 5_000, seed = "12")
  void notRunNeedsAWord(@ForAll List<AttemptEvent> events) {
    AttemptState state = AttemptState.WAITING;
    boolean sending = false;
    boolean word = false;
    boolean showed = false;
    for (AttemptEvent event : events) {
      sending |= event == AttemptEvent.SENDING && !state.ended();
      word |= event == AttemptEvent.CONNECT_FAILED || event == AttemptEvent.REFUSED_BY_ENDPOINT;
      word |= event == AttemptEvent.ENDPOINT_RESTS;
      state = AttemptTransitions.next(state, event);
      showed |= state == AttemptState.RUNNING;
      if (state.ran() == Ran.NO) {
        assertTrue(!sending || word, events.toString());
        assertTrue(!showed, events.toString());
      }
    }
  }

  @Property(tries = 2_000, seed = "13")
  void endedStaysEndedAndNeverBecomesNotRun(@ForAll List<AttemptEvent> events) {
    AttemptState state = AttemptState.WAITING;
    for (AttemptEvent event : events) {
      AttemptState before = state;
      state = AttemptTransitions.next(before, event);
      if (before.ended()) {
        assertTrue(state.ended());
        assertTrue(state.ran() == before.ran() || before == AttemptState.UNKNOWN);
      }
    }
  }

  @Test
  void lostAfterSendingIsUnknown() {
    AttemptState sent = AttemptTransitions.next(AttemptState.WAITING, AttemptEvent.SENDING);
    assertEquals(Ran.UNKNOWN, AttemptTransitions.next(sent, AttemptEvent.LOST).ran());
  }
}
