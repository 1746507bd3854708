// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.fawndrum.coordination.Ran;
import org.fawndrum.coordination.Refusal;
import org.fawndrum.coordination.RefusalKind;
import org.fawndrum.errors.RefusedException;
import org.fawndrum.internal.log.HostLog;
import org.junit.jupiter.api.Test;

/**
 * Hosts without processor time took requests, placed them and passed their deadlines, so that the
 * work for them took the time that the hosts needed to recover. In simulated time: the event loop
 * and the decision duty run what they are given after a delay.
 */
class LatenessWatchTest {
  private static final long DEADLINE_MS = 1_500;
  private static final long LONG_DEADLINE_MS = 60_000;

  private final SimulatedTime time = new SimulatedTime();
  private final LatenessWatch watch =
      new LatenessWatch(this::runLater, this::decide, time, new HostLog("test"));
  private long delayMs;
  private boolean full;

  private void runLater(long afterMs, Runnable step) {
    time.runAfter(afterMs + delayMs, step);
  }

  private boolean decide(RelayEvent event) {
    if (!full) {
      time.runAfter(delayMs, ((RelayEvent.RoundPassing) event).onPassed());
    }
    return !full;
  }

  private void start() {
    watch.start(step -> time.runAfter(delayMs, step));
  }

  private void check(long deadlineMs) {
    watch.checkCanFinish("r-1", time.nowMs() + deadlineMs);
  }

  @Test
  void requestThatCannotFinishIsRefusedAndHasNotRun() {
    delayMs = 200;
    start();
    time.elapse(10_000);
    Refusal refusal = assertThrows(RefusedException.class, () -> check(DEADLINE_MS)).refusal();
    assertEquals(RefusalKind.HOST_LATE, refusal.kind());
    assertEquals(Ran.NO, refusal.ran());
    assertEquals(600, refusal.retryAfterMs());
    assertEquals(1, watch.refusedCount());
    check(LONG_DEADLINE_MS);
    assertEquals(1, watch.refusedCount());
  }

  @Test
  void hostThatIsLateForAMomentRefusesNothing() {
    start();
    time.elapse(10_000);
    delayMs = 2_000;
    time.elapse(2_500);
    delayMs = 0;
    time.elapse(5_000);
    check(DEADLINE_MS);
    assertEquals(0, watch.refusedCount());
  }

  @Test
  void hostThatIsInTimeAgainRefusesNothing() {
    delayMs = 1_000;
    start();
    time.elapse(30_000);
    assertThrows(RefusedException.class, () -> check(DEADLINE_MS));
    delayMs = 0;
    time.elapse(6_000);
    check(DEADLINE_MS);
  }

  @Test
  void fullQueueOfTheDutyDoesNotEndTheMeasurement() {
    full = true;
    start();
    time.elapse(1_000);
    full = false;
    delayMs = 1_000;
    time.elapse(30_000);
    assertThrows(RefusedException.class, () -> check(DEADLINE_MS));
  }
}
