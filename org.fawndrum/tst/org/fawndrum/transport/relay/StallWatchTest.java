// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.fawndrum.state.RequestAims;
import org.junit.jupiter.api.Test;

/** How long an attempt may be silent before another endpoint is tried. */
class StallWatchTest {
  /** Callers give up after two seconds, four aims or eight pauses, whichever is longest. */
  private static long patienceMs(RequestAims aims) {
    return Math.max(2_000, Math.max(4 * aims.firstTokenMs(), 8 * aims.pauseMs()));
  }

  @Test
  void anotherEndpointIsTriedWhileTheCallerStillWaits() {
    RequestAims shortAims = new RequestAims(300, 250, 2);
    assertEquals(1_000, StallWatch.limitMs(shortAims, false));
    assertEquals(1_250, StallWatch.limitMs(shortAims, true));
    RequestAims longAims = new RequestAims(1_500, 600, 2);
    assertTrue(StallWatch.limitMs(longAims, false) < patienceMs(longAims));
    assertTrue(StallWatch.limitMs(longAims, true) < patienceMs(longAims));
  }

  @Test
  void silenceBeforeAVeryLongPromptIsReadSaysNothing() {
    assertEquals(Long.MAX_VALUE, StallWatch.limitMs(new RequestAims(2_500, 1_000, 2), false));
  }

  @Test
  void whereSilenceSaysNothingTheEngineIsAsked() {
    assertTrue(StallWatch.isFirstEventUnlimited(new RequestAims(2_500, 1_000, 2)));
    assertFalse(StallWatch.isFirstEventUnlimited(new RequestAims(300, 250, 2)));
  }
}
