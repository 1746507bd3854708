// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** What engines report tells a request that waits from one that was dropped. */
class MemoryUseTest {
  private static final String TICKET = "t-1";
  private static final EngineReport UNUSED = new EngineReport(0, 0, Set.of("t-2"));
  private static final EngineReport USED = new EngineReport(0, 0, Set.of("t-2", TICKET));
  private static final EngineReport IDLE = new EngineReport(0, 0, Set.of());
  private static final EngineReport BUSY = new EngineReport(0, 1, Set.of());

  private final MemoryUseTracker use = new MemoryUseTracker();

  private boolean possible(EngineReport reader, EngineReport holder) {
    return use.mayBeInUse(reader, holder, TICKET, 1_000);
  }

  @Test
  void usedMemoryIsUsedHoweverIdleItsEngineLooks() {
    assertTrue(possible(IDLE, USED));
    assertTrue(use.mayBeInUse(IDLE, USED, TICKET, 100 * MemoryUseTracker.MAX_UNUSED_MS));
  }

  @Test
  void aRequestThatMayWaitForItsTurnKeepsItsMemoryForAWhile() {
    assertTrue(possible(BUSY, UNUSED));
    assertTrue(use.mayBeInUse(BUSY, UNUSED, TICKET, MemoryUseTracker.MAX_UNUSED_MS - 1));
    assertFalse(use.mayBeInUse(BUSY, UNUSED, TICKET, MemoryUseTracker.MAX_UNUSED_MS));
  }

  @Test
  void aRequestWasDroppedWhereNothingWaits() {
    assertFalse(possible(IDLE, UNUSED));
  }

  @Test
  void memoryThatWasUsedIsNotWaitedForAgain() {
    assertTrue(possible(BUSY, USED));
    assertFalse(possible(BUSY, UNUSED));
  }

  @Test
  void aRequestWhoseAnswerBeganHadItsTurn() {
    use.recordStart();
    assertFalse(possible(BUSY, UNUSED));
    assertTrue(possible(BUSY, USED));
  }

  @Test
  void anEngineThatTellsNothingIsNoEvidenceAgainst() {
    assertTrue(possible(IDLE, EngineReport.NOTHING));
    assertTrue(possible(EngineReport.NOTHING, UNUSED));
  }
}
