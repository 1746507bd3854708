// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** From when an order counts that is handled just after a host stood still. */
class AwakeTimesTest {
  private static final long EVERY_MS = 200;

  private final AwakeTimes awake = new AwakeTimes(EVERY_MS);

  private void looksUntil(long untilMs) {
    for (long nowMs = 0; nowMs <= untilMs; nowMs += EVERY_MS) {
      awake.looked(nowMs);
    }
  }

  @Test
  void whatAHostThatIsAwakeHandlesComesNow() {
    assertEquals(50, awake.earliestMs(50), "before the first look");
    looksUntil(10_000);
    assertEquals(10_150, awake.earliestMs(10_150));
    awake.looked(10_450);
    assertEquals(10_460, awake.earliestMs(10_460), "a look that is a little late");
  }

  @Test
  void whatIsHandledFirstAfterAHostStoodStillMayHaveComeAtItsLastLook() {
    looksUntil(10_000);
    assertEquals(10_000, awake.earliestMs(11_900), "before the next look");
    awake.looked(11_900);
    assertEquals(10_000, awake.earliestMs(11_910), "after it");
  }

  @Test
  void whatIsHandledLaterComesNow() {
    looksUntil(10_000);
    awake.looked(11_900);
    assertEquals(12_050, awake.earliestMs(12_050));
  }
}
