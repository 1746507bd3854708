// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How late a host is, and which requests it can't finish. */
class HostLatenessTest {
  private static final int HALF = HostLateness.ROUNDS / 2;
  private static final long LATE_MS = 500;
  private static final long DEADLINE_MS = HostLateness.ROUNDS_PER_REQUEST * LATE_MS;

  private final HostLateness lateness = new HostLateness();

  private void rounds(int count, long lateMs) {
    for (int round = 0; round < count; round++) {
      lateness.recordRound(1_000, 1_000 + lateMs);
    }
  }

  @Test
  void hostThatJustStartedCanFinishEverything() {
    assertTrue(lateness.canFinish(0));
    assertTrue(lateness.canFinish(-1));
  }

  @Test
  void hostThatIsLateForAMomentRefusesNothing() {
    rounds(HostLateness.ROUNDS, 0);
    rounds(HALF, 60_000);
    assertTrue(lateness.canFinish(0));
    rounds(HALF, 0);
    assertTrue(lateness.canFinish(0));
  }

  @Test
  void hostThatIsLateInItsFirstRoundsOnlyRefusesNothing() {
    rounds(HostLateness.MIN_ROUNDS - 1, 60_000);
    assertTrue(lateness.canFinish(0));
    rounds(HostLateness.MIN_ROUNDS - 1, 0);
    assertTrue(lateness.canFinish(0));
  }

  /**
   * After a loss of power, hosts took on what they could not finish for 21 s: rounds that had not
   * been yet counted as in time.
   */
  @Test
  void hostThatIsLateFromItsStartOnKnowsItAfterAFewRounds() {
    rounds(HostLateness.MIN_ROUNDS, LATE_MS);
    assertEquals(LATE_MS, lateness.usualMs());
    assertFalse(lateness.canFinish(DEADLINE_MS - 1));
  }

  @Test
  void hostThatIsLateMostOfTheTimeCannotFinishWhatIsDueSooner() {
    rounds(HALF - 1, 0);
    rounds(HALF + 1, LATE_MS);
    assertEquals(LATE_MS, lateness.usualMs());
    assertTrue(lateness.canFinish(DEADLINE_MS));
    assertFalse(lateness.canFinish(DEADLINE_MS - 1));
  }

  @Test
  void hostThatIsInTimeAgainRefusesNothing() {
    rounds(HostLateness.ROUNDS, LATE_MS);
    rounds(HALF, 0);
    assertTrue(lateness.canFinish(0));
  }

  @Test
  void roundBeforeItsTimeIsNotLate() {
    rounds(HostLateness.ROUNDS, -5);
    assertEquals(0, lateness.usualMs());
  }

  /** A host that had been late went on waiting for others long after it was in time again. */
  @Test
  void waitingForOthersIsProlongedByALimitOnly() {
    rounds(HostLateness.ROUNDS, 10);
    assertEquals(lateness.perRequestMs(), lateness.allowanceMs());
    rounds(HostLateness.ROUNDS, 10_000);
    assertEquals(HostLateness.MAX_ALLOWANCE_MS, lateness.allowanceMs());
  }
}
