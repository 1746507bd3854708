// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** An attempt is "not run" only if nothing can have been sent or this was reported explicitly. */
class AttemptTransitionsTest {
  @Property(tries = 5_000, seed = "12")
  void notRunRequiresNothingSentOrAnExplicitReport(@ForAll List<AttemptEvent> events) {
    AttemptState state = AttemptState.WAITING;
    boolean sending = false;
    boolean reportedNotRun = false;
    boolean wasRunning = false;
    for (AttemptEvent event : events) {
      sending |= event == AttemptEvent.SENDING && !state.ended();
      reportedNotRun |=
          event == AttemptEvent.CONNECT_FAILED || event == AttemptEvent.REFUSED_BY_ENDPOINT;
      reportedNotRun |= event == AttemptEvent.ENDPOINT_BACKOFF;
      reportedNotRun |= event == AttemptEvent.ENDPOINT_LIMITED;
      reportedNotRun |= event == AttemptEvent.ZONE_DRAINED;
      reportedNotRun |= event == AttemptEvent.NO_PATH;
      state = AttemptTransitions.next(state, event);
      wasRunning |= state == AttemptState.RUNNING;
      if (state.ran() == Ran.NO) {
        assertTrue(!sending || reportedNotRun, events.toString());
        assertTrue(!wasRunning, events.toString());
      }
    }
  }

  @Property(tries = 2_000, seed = "13")
  void finalStateStaysFinalAndNeverBecomesNotRun(@ForAll List<AttemptEvent> events) {
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
  void connectionLostAfterSendingIsUnknown() {
    AttemptState sent = AttemptTransitions.next(AttemptState.WAITING, AttemptEvent.SENDING);
    assertEquals(Ran.UNKNOWN, AttemptTransitions.next(sent, AttemptEvent.LOST).ran());
  }
}
