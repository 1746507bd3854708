// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Endpoints that were all late for one cause were given up one after the other. */
class UsualSilenceTest {
  private static final long LIMIT_MS = 1_500;

  private final UsualSilence usual = new UsualSilence();

  private void recordOf(int endpoints, long silentMs) {
    for (int i = 0; i < endpoints; i++) {
      usual.record("i-" + i, silentMs, LIMIT_MS, 0);
    }
  }

  @Test
  void whereMostEndpointsAreLateEachMayBeSilentLonger() {
    recordOf(4, 1_500);
    assertEquals(2 * LIMIT_MS, usual.extended(LIMIT_MS, 0));
  }

  @Test
  void aMinorityOfSilentEndpointsExtendsNothing() {
    recordOf(UsualSilence.ENDPOINTS, 100);
    usual.record("i-0", 1_600, LIMIT_MS, 1);
    usual.record("i-1", 1_600, LIMIT_MS, 1);
    assertEquals(LIMIT_MS, usual.extended(LIMIT_MS, 1));
  }

  @Test
  void oneEndpointTellsNothingAboutTheOthers() {
    for (int i = 0; i < UsualSilence.ENDPOINTS; i++) {
      usual.record("i-0", 1_600, LIMIT_MS, i);
    }
    assertEquals(LIMIT_MS, usual.extended(LIMIT_MS, 10));
  }

  @Test
  void endpointsThatAreGoneAltogetherHoldNobodyMuchLonger() {
    recordOf(UsualSilence.ENDPOINTS, 60_000);
    long most = Math.round(LIMIT_MS * UsualSilence.MAX_EXTENSION);
    assertEquals(most, usual.extended(LIMIT_MS, 0));
  }

  @Test
  void whatWasObservedLongAgoDoesNotCount() {
    recordOf(4, 1_500);
    assertEquals(LIMIT_MS, usual.extended(LIMIT_MS, UsualSilence.REMEMBERED_MS + 1));
  }

  @Test
  void anUnlimitedWaitStaysUnlimited() {
    recordOf(4, 1_500);
    assertTrue(usual.extended(Long.MAX_VALUE, 0) == Long.MAX_VALUE);
  }
}
