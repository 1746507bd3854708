// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The earliest arrival time of events that are handled just after a pause of the process. */
class PauseDetectorTest {
  private static final long TICK_INTERVAL_MS = 200;

  private final PauseDetector detector = new PauseDetector(TICK_INTERVAL_MS);

  private void tickUntil(long untilMs) {
    for (long nowMs = 0; nowMs <= untilMs; nowMs += TICK_INTERVAL_MS) {
      detector.recordTick(nowMs);
    }
  }

  @Test
  void eventsOnARunningHostArriveNow() {
    assertEquals(50, detector.earliestArrivalMs(50), "before the first tick");
    tickUntil(10_000);
    assertEquals(10_150, detector.earliestArrivalMs(10_150));
    detector.recordTick(10_450);
    assertEquals(10_460, detector.earliestArrivalMs(10_460), "slightly delayed tick");
  }

  @Test
  void eventsJustAfterAPauseMayHaveArrivedAtTheLastTick() {
    tickUntil(10_000);
    assertEquals(10_000, detector.earliestArrivalMs(11_900), "before the next tick");
    detector.recordTick(11_900);
    assertEquals(10_000, detector.earliestArrivalMs(11_910), "after the next tick");
  }

  @Test
  void laterEventsArriveNow() {
    tickUntil(10_000);
    detector.recordTick(11_900);
    assertEquals(12_050, detector.earliestArrivalMs(12_050));
  }
}
