// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class RecoveryCheckerTest {
  private static final long RECOVERY_MS = 15_000;
  private static final long LOST_MS = 10_000;
  private static final long RETURNED_MS = 11_000;
  private static final long AFTER_MS = RETURNED_MS + RECOVERY_MS;

  private final RecoveryChecker checker = new RecoveryChecker(RECOVERY_MS);
  private int requests;

  private void send(int sent, int served, long atMs) {
    for (int i = 0; i < sent; i++) {
      String id = "s-" + ++requests;
      checker.recordSent(id, atMs);
      checker.recordOutcome(id, i < served, "");
    }
  }

  private void lose() {
    checker.recordLost(LOST_MS);
    checker.recordReturned(RETURNED_MS);
  }

  @Test
  void fewerThanAQuarterAfterwardsIsAViolation() {
    send(4, 1, 1);
    lose();
    send(100, 24, AFTER_MS + 1);
    assertEquals(1, checker.violations().size());
  }

  @Test
  void aQuarterIsEnough() {
    send(4, 1, 1);
    lose();
    send(100, 25, AFTER_MS + 1);
    assertEquals(0, checker.violations().size());
  }

  @Test
  void requestsSentWithinTheTimeToRecoverDoNotCount() {
    send(4, 4, 1);
    lose();
    send(100, 0, LOST_MS);
    send(100, 0, AFTER_MS);
    send(4, 1, AFTER_MS + 1);
    assertEquals(0, checker.violations().size());
  }

  @Test
  void nothingIsAskedIfCallersWereNotServedBefore() {
    send(100, 24, 1);
    lose();
    send(100, 0, AFTER_MS + 1);
    assertEquals(0, checker.violations().size());
  }
}
