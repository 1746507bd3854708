// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import org.fawndrum.state.HostIdentity;
import org.junit.jupiter.api.Test;

/**
 * A crash counts once, whichever incarnation of the endpoint each host knows.
 *
 * <p>Guards against this failure: a request crashed three engines within a second and was rejected
 * only after seven crashes. Its hosts had read the list of endpoints at different times, and one
 * recorded the second crash under an earlier incarnation. The registry took that for two crashes.
 * One of them was of an endpoint without the request at the same instant, so neither counted, and
 * it raised the required number of crashes from three to six.
 */
class CrashIdentityTest {
  private static final HostIdentity HOST = new HostIdentity("host-1", 1);
  private static final TestContent DEADLY = new TestContent(1);
  private static final TestContent INNOCENT = new TestContent(2);
  private static final HostIdentity EARLIER_INCARNATION = new HostIdentity("e-1", 1_000);
  private static final HostIdentity LATER_INCARNATION = new HostIdentity("e-1", 2_000);

  /** How long an endpoint has a request before it crashes, in milliseconds. */
  private static final long RUN_MS = 250;

  /** How much later another host observes the same crash, in milliseconds. */
  private static final long JITTER_MS = 18;

  private final CrashRegistry registry = new CrashRegistry(HOST);
  private long nowMs = 1_000_000;

  private CrashUpdate crash(HostIdentity endpoint, TestContent request, long sentMs) {
    return registry.recordCrash(endpoint, request.knownFingerprint(), sentMs, nowMs);
  }

  private void advance(long ms) {
    nowMs += ms;
    registry.decide(nowMs);
  }

  private void twoMoreCrashes() {
    for (int i = 0; i < 2; i++) {
      advance(1_000);
      crash(new HostIdentity("f-" + i, 1), DEADLY, nowMs - RUN_MS);
    }
    advance(CrashRules.SETTLE_MS);
  }

  @Test
  void reportUnderEarlierIncarnationIsSameCrash() {
    crash(LATER_INCARNATION, DEADLY, nowMs - RUN_MS);
    advance(JITTER_MS);
    crash(EARLIER_INCARNATION, INNOCENT, nowMs - 5_000);
    twoMoreCrashes();
    assertEquals(CrashVerdict.REJECTED, registry.verdict(DEADLY, nowMs));
    assertEquals(CrashVerdict.ALLOWED, registry.verdict(INNOCENT, nowMs));
  }

  @Test
  void reportUnderEarlierIncarnationFirstIsSameCrash() {
    crash(EARLIER_INCARNATION, INNOCENT, nowMs - 5_000);
    advance(JITTER_MS);
    crash(LATER_INCARNATION, DEADLY, nowMs - RUN_MS);
    twoMoreCrashes();
    assertEquals(CrashVerdict.REJECTED, registry.verdict(DEADLY, nowMs));
  }

  /** A host may learn only from the list of endpoints that the incarnation it knew has ended. */
  @Test
  void reportUnderEarlierIncarnationSecondsLaterIsSameCrash() {
    crash(LATER_INCARNATION, DEADLY, nowMs - RUN_MS);
    long sentMs = nowMs - RUN_MS;
    advance(3_000);
    crash(EARLIER_INCARNATION, INNOCENT, sentMs);
    twoMoreCrashes();
    assertEquals(CrashVerdict.REJECTED, registry.verdict(DEADLY, nowMs));
  }

  @Test
  void nextIncarnationMayCrashAgainSoonAfterRestart() {
    for (int i = 0; i < CrashRules.MIN_CRASHES; i++) {
      crash(new HostIdentity("e-1", 1_000 * (i + 1)), DEADLY, nowMs - RUN_MS);
      advance(500 + RUN_MS);
    }
    assertEquals(CrashVerdict.REJECTED, registry.verdict(DEADLY, nowMs));
  }

  @Test
  void orderOfUpdatesDoesNotMatter() {
    List<CrashUpdate> updates =
        List.of(
            crash(EARLIER_INCARNATION, INNOCENT, nowMs - 5_000),
            new CrashRegistry(HOST)
                .recordCrash(LATER_INCARNATION, DEADLY.knownFingerprint(), nowMs - RUN_MS, nowMs),
            new CrashRegistry(HOST)
                .recordCrash(
                    LATER_INCARNATION, INNOCENT.knownFingerprint(), nowMs - RUN_MS, nowMs));
    CrashRegistry first = new CrashRegistry(HOST);
    CrashRegistry second = new CrashRegistry(HOST);
    for (int i = 0; i < updates.size(); i++) {
      first.merge(updates.get(i), nowMs);
      second.merge(updates.get(updates.size() - 1 - i), nowMs);
    }
    assertNotEquals(0, first.digest());
    assertEquals(first.digest(), second.digest());
    assertEquals(1, first.fullUpdate().crashes().size());
  }

  /**
   * Guards against hosts that took their own crashes, returned by other hosts, for new ones and
   * forwarded them forever: a crash merged from several reports had a time of sending after its
   * crash.
   */
  @Test
  void crashMergedFromSeveralReportsIsNotNew() {
    crash(EARLIER_INCARNATION, INNOCENT, nowMs - 1_000);
    registry.recordCrash(LATER_INCARNATION, DEADLY.knownFingerprint(), nowMs + 150, nowMs + 300);
    registry.recordCrash(
        EARLIER_INCARNATION, new TestContent(3).knownFingerprint(), nowMs - 1_000, nowMs - 100);
    assertTrue(registry.merge(registry.fullUpdate(), nowMs).isEmpty());
    assertEquals(1, registry.fullUpdate().crashes().size());
  }

  @Test
  void ownFullUpdateContainsNothingNew() {
    for (long seed = 1; seed <= 500; seed++) {
      Random random = new Random(seed);
      CrashRegistry host = new CrashRegistry(HOST);
      for (int i = 0; i < 30; i++) {
        HostIdentity endpoint = new HostIdentity("e-" + random.nextInt(2), random.nextInt(4));
        TestContent request = new TestContent(random.nextInt(5));
        long crashedMs = nowMs - random.nextInt(3_000);
        host.recordCrash(
            endpoint, request.knownFingerprint(), crashedMs - random.nextInt(800), crashedMs);
      }
      assertTrue(host.merge(host.fullUpdate(), nowMs).isEmpty(), "seed " + seed);
    }
  }
}
