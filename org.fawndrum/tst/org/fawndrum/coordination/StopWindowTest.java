// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/** What a host that was told to stop takes. */
class StopWindowTest {
  private static final long ORDERED_MS = 1_000_000;
  private static final long USUAL_GRACE_MS = 8_000;

  private static StopWindow usual() {
    return StopWindow.from(ORDERED_MS, USUAL_GRACE_MS);
  }

  private static boolean takes(long sinceOrderMs, long limitMs) {
    return usual().accepts(ORDERED_MS + sinceOrderMs, ORDERED_MS + sinceOrderMs + limitMs);
  }

  @Test
  void atFirstEverythingIsTaken() {
    assertTrue(takes(0, 600_000));
    assertTrue(takes(2_799, 600_000));
  }

  @Test
  void afterThatWhatMayOutlastTheHostIsNot() {
    assertFalse(takes(2_800, 10_000));
    assertFalse(takes(5_248, 10_000));
    assertFalse(takes(5_248, 2_152));
    assertTrue(takes(5_248, 2_151));
    assertTrue(takes(7_099, 300));
    assertFalse(takes(7_100, 300));
  }

  @Test
  void theHostEndsBeforeItIsEnded() {
    assertEquals(ORDERED_MS + 7_400, usual().endMs());
    assertEquals(ORDERED_MS + 7_850, usual().goneMs());
  }

  /**
   * Seen: hosts on a machine with five times as much to do as it has cores were killed at the end
   * of their grace period, with their last answers given 0.1 to 0.3 s before.
   */
  @Test
  void aHostThatComesLateToItsWorkBeginsItsEndEarlier() {
    assertEquals(ORDERED_MS + 7_000, usual().endMs(400));
    assertEquals(ORDERED_MS + 7_400, usual().endMs(0));
    long lastSixthMs = ORDERED_MS + 6_667;
    assertEquals(lastSixthMs, usual().endMs(60_000), "what an endpoint still works on goes on");
  }

  /**
   * Seen: hosts that had stood still while the order to stop came counted their grace period from
   * when they handled it, and were killed before they began their end.
   */
  @Test
  void anOrderThatMayHaveComeEarlierCountsFromThen() {
    long handledMs = ORDERED_MS + 1_900;
    StopWindow window = StopWindow.from(ORDERED_MS, handledMs, USUAL_GRACE_MS);
    assertEquals(usual().endMs(), window.endMs());
    StopWindow late = StopWindow.from(handledMs - 60_000, handledMs, USUAL_GRACE_MS);
    assertEquals(handledMs + 3_400, late.endMs(), "half is left for what is in progress");
  }

  @Test
  void aHostThatNobodyToldToStopTakesEverything() {
    assertTrue(StopWindow.UNRESTRICTED.accepts(ORDERED_MS, Long.MAX_VALUE));
  }

  @Test
  void aClosedWindowTakesNothing() {
    assertFalse(StopWindow.CLOSED.accepts(0, 1));
  }

  @Property(tries = 2_000, seed = "43")
  void whateverIsTakenComesEarlyOrEndsInTime(
      @ForAll @LongRange(min = 0, max = 120_000) long graceMs,
      @ForAll @LongRange(min = 0, max = 130_000) long sinceOrderMs,
      @ForAll @LongRange(min = 1, max = 130_000) long limitMs) {
    StopWindow window = StopWindow.from(ORDERED_MS, graceMs);
    boolean early = sinceOrderMs < 3_000 && sinceOrderMs * 8 < graceMs * 3;
    boolean inTime = sinceOrderMs + limitMs < graceMs;
    long nowMs = ORDERED_MS + sinceOrderMs;
    assertTrue(early || inTime || !window.accepts(nowMs, nowMs + limitMs));
    assertTrue(window.endMs() >= ORDERED_MS && window.endMs() <= window.goneMs());
    assertTrue(window.goneMs() <= ORDERED_MS + graceMs);
    assertTrue(window.endMs(limitMs) >= ORDERED_MS && window.endMs(limitMs) <= window.endMs());
  }
}
