// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.fawndrum.state.LatencyTargets;
import org.junit.jupiter.api.Test;

/** How long an attempt may be silent before another endpoint is tried. */
class StallWatchTest {
  /**
   * Callers give up after the maximum of two seconds, four first-token targets and eight pauses.
   */
  private static long patienceMs(LatencyTargets targets) {
    return Math.max(2_000, Math.max(4 * targets.firstTokenMs(), 8 * targets.pauseMs()));
  }

  @Test
  void anotherEndpointIsTriedWhileTheCallerStillWaits() {
    LatencyTargets shortTargets = new LatencyTargets(300, 250, 2);
    assertEquals(1_000, StallWatch.limitMs(shortTargets, false));
    assertEquals(1_250, StallWatch.limitMs(shortTargets, true));
    LatencyTargets longTargets = new LatencyTargets(1_500, 600, 2);
    assertTrue(StallWatch.limitMs(longTargets, false) < patienceMs(longTargets));
    assertTrue(StallWatch.limitMs(longTargets, true) < patienceMs(longTargets));
  }

  @Test
  void veryLongPromptHasNoFirstEventLimit() {
    assertEquals(Long.MAX_VALUE, StallWatch.limitMs(new LatencyTargets(2_500, 1_000, 2), false));
  }

  @Test
  void engineIsProbedWithoutFirstEventLimit() {
    assertTrue(StallWatch.isFirstEventUnlimited(new LatencyTargets(2_500, 1_000, 2)));
    assertFalse(StallWatch.isFirstEventUnlimited(new LatencyTargets(300, 250, 2)));
  }
}
