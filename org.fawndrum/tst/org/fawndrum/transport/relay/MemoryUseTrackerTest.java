// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** Engines' reports distinguish a waiting request from one that was dropped. */
class MemoryUseTrackerTest {
  private static final String TICKET = "t-1";
  private static final EngineReport UNUSED = new EngineReport(0, 0, Set.of("t-2"));
  private static final EngineReport USED = new EngineReport(0, 0, Set.of("t-2", TICKET));
  private static final EngineReport IDLE = new EngineReport(0, 0, Set.of());
  private static final EngineReport BUSY = new EngineReport(0, 1, Set.of());

  private final MemoryUseTracker tracker = new MemoryUseTracker();

  private boolean mayBeInUse(EngineReport requestEngine, EngineReport helper) {
    return tracker.mayBeInUse(requestEngine, helper, TICKET, 1_000);
  }

  @Test
  void usedMemoryStaysInUseOnAnIdleEngine() {
    assertTrue(mayBeInUse(IDLE, USED));
    assertTrue(tracker.mayBeInUse(IDLE, USED, TICKET, 100 * MemoryUseTracker.MAX_UNUSED_MS));
  }

  @Test
  void waitingRequestKeepsItsMemoryForALimitedTime() {
    assertTrue(mayBeInUse(BUSY, UNUSED));
    assertTrue(tracker.mayBeInUse(BUSY, UNUSED, TICKET, MemoryUseTracker.MAX_UNUSED_MS - 1));
    assertFalse(tracker.mayBeInUse(BUSY, UNUSED, TICKET, MemoryUseTracker.MAX_UNUSED_MS));
  }

  @Test
  void requestWasDroppedIfNoneIsWaiting() {
    assertFalse(mayBeInUse(IDLE, UNUSED));
  }

  @Test
  void memoryNoLongerInUseIsNotKept() {
    assertTrue(mayBeInUse(BUSY, USED));
    assertFalse(mayBeInUse(BUSY, UNUSED));
  }

  @Test
  void requestWithAnAnswerHasStarted() {
    tracker.recordStart();
    assertFalse(mayBeInUse(BUSY, UNUSED));
    assertTrue(mayBeInUse(BUSY, USED));
  }

  @Test
  void reportWithoutDetailsIsNoEvidence() {
    assertTrue(mayBeInUse(IDLE, EngineReport.EMPTY));
    assertTrue(mayBeInUse(EngineReport.EMPTY, UNUSED));
  }
}
