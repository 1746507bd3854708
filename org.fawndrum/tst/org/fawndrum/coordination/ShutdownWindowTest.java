// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/** The requests that a host accepts after a stop order. */
class ShutdownWindowTest {
  private static final long ORDERED_MS = 1_000_000;
  private static final long USUAL_GRACE_MS = 8_000;

  private static ShutdownWindow usualWindow() {
    return ShutdownWindow.from(ORDERED_MS, USUAL_GRACE_MS);
  }

  private static boolean accepts(long sinceOrderMs, long limitMs) {
    return usualWindow().accepts(ORDERED_MS + sinceOrderMs, ORDERED_MS + sinceOrderMs + limitMs);
  }

  @Test
  void acceptsEverythingAtFirst() {
    assertTrue(accepts(0, 600_000));
    assertTrue(accepts(2_799, 600_000));
  }

  @Test
  void laterRejectsRequestsThatMayOutlastTheHost() {
    assertFalse(accepts(2_800, 10_000));
    assertFalse(accepts(5_248, 10_000));
    assertFalse(accepts(5_248, 2_152));
    assertTrue(accepts(5_248, 2_151));
    assertTrue(accepts(7_099, 300));
    assertFalse(accepts(7_100, 300));
  }

  @Test
  void hostShutsDownBeforeItIsKilled() {
    assertEquals(ORDERED_MS + 7_400, usualWindow().shutdownMs());
    assertEquals(ORDERED_MS + 7_850, usualWindow().exitMs());
  }

  /**
   * Guards against this failure: hosts on a machine with five times more work than cores were
   * killed at the end of their grace period, with their last answers sent 0.1 to 0.3 s before.
   */
  @Test
  void delayedHostStartsItsShutdownEarlier() {
    assertEquals(ORDERED_MS + 7_000, usualWindow().shutdownMs(400));
    assertEquals(ORDERED_MS + 7_400, usualWindow().shutdownMs(0));
    long lastSixthMs = ORDERED_MS + 6_667;
    assertEquals(
        lastSixthMs, usualWindow().shutdownMs(60_000), "answers still being generated continue");
  }

  /**
   * Guards against this failure: hosts that were paused when the stop order arrived counted their
   * grace period from when they handled it, and were killed before they started their shutdown.
   */
  @Test
  void graceCountsFromTheEarliestPossibleArrivalOfTheOrder() {
    long handledMs = ORDERED_MS + 1_900;
    ShutdownWindow window = ShutdownWindow.from(ORDERED_MS, handledMs, USUAL_GRACE_MS);
    assertEquals(usualWindow().shutdownMs(), window.shutdownMs());
    ShutdownWindow late = ShutdownWindow.from(handledMs - 60_000, handledMs, USUAL_GRACE_MS);
    assertEquals(handledMs + 3_400, late.shutdownMs(), "half is left for requests in progress");
  }

  @Test
  void unrestrictedWindowAcceptsEverything() {
    assertTrue(ShutdownWindow.UNRESTRICTED.accepts(ORDERED_MS, Long.MAX_VALUE));
  }

  @Test
  void closedWindowAcceptsNothing() {
    assertFalse(ShutdownWindow.CLOSED.accepts(0, 1));
  }

  @Property(tries = 2_000, seed = "43")
  void acceptedRequestsAreEarlyOrCompleteInTime(
      @ForAll @LongRange(min = 0, max = 120_000) long graceMs,
      @ForAll @LongRange(min = 0, max = 130_000) long sinceOrderMs,
      @ForAll @LongRange(min = 1, max = 130_000) long limitMs) {
    ShutdownWindow window = ShutdownWindow.from(ORDERED_MS, graceMs);
    boolean early = sinceOrderMs < 3_000 && sinceOrderMs * 8 < graceMs * 3;
    boolean inTime = sinceOrderMs + limitMs < graceMs;
    long nowMs = ORDERED_MS + sinceOrderMs;
    assertTrue(early || inTime || !window.accepts(nowMs, nowMs + limitMs));
    assertTrue(window.shutdownMs() >= ORDERED_MS && window.shutdownMs() <= window.exitMs());
    assertTrue(window.exitMs() <= ORDERED_MS + graceMs);
    assertTrue(
        window.shutdownMs(limitMs) >= ORDERED_MS
            && window.shutdownMs(limitMs) <= window.shutdownMs());
  }
}
