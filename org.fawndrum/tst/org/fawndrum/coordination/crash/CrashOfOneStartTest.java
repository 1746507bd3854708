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
 * An end is one end, whatever each host believes of the endpoint.
 *
 * <p>Seen: a request ended three engines within a second and was turned away only after seven. Its
 * hosts had read the list of endpoints at different times, so that one had filed the second end
 * under an earlier start. That made two ends of it: one of an endpoint without the request at the
 * same moment, so that neither counted, and one that asked for six ends in place of three.
 */
class CrashOfOneStartTest {
  private static final HostIdentity HOST = new HostIdentity("host-1", 1);
  private static final TestContent DEADLY = new TestContent(1);
  private static final TestContent INNOCENT = new TestContent(2);
  private static final HostIdentity EARLIER = new HostIdentity("e-1", 1_000);
  private static final HostIdentity LATER = new HostIdentity("e-1", 2_000);

  /** How long an endpoint has a request before it ends, in milliseconds. */
  private static final long RUN_MS = 250;

  /** How much later another host sees the same end, in milliseconds. */
  private static final long JITTER_MS = 18;

  private final CrashLedger ledger = new CrashLedger(HOST);
  private long nowMs = 1_000_000;

  private CrashNews crash(HostIdentity endpoint, TestContent under, long takenMs) {
    return ledger.crashed(endpoint, under.print(), takenMs, nowMs);
  }

  private void pass(long ms) {
    nowMs += ms;
    ledger.decide(nowMs);
  }

  private void twoMore() {
    for (int i = 0; i < 2; i++) {
      pass(1_000);
      crash(new HostIdentity("f-" + i, 1), DEADLY, nowMs - RUN_MS);
    }
    pass(CrashRules.SETTLE_MS);
  }

  @Test
  void anEndThatAnotherHostFilesUnderAnEarlierStartIsNoSecondOne() {
    crash(LATER, DEADLY, nowMs - RUN_MS);
    pass(JITTER_MS);
    crash(EARLIER, INNOCENT, nowMs - 5_000);
    twoMore();
    assertEquals(CrashVerdict.REFUSED, ledger.verdict(DEADLY, nowMs));
    assertEquals(CrashVerdict.FREE, ledger.verdict(INNOCENT, nowMs));
  }

  @Test
  void norIsItWhenThatHostIsTheFirst() {
    crash(EARLIER, INNOCENT, nowMs - 5_000);
    pass(JITTER_MS);
    crash(LATER, DEADLY, nowMs - RUN_MS);
    twoMore();
    assertEquals(CrashVerdict.REFUSED, ledger.verdict(DEADLY, nowMs));
  }

  /** A host may learn only from the list that the start which it believed in is over. */
  @Test
  void norIsItWhenThatHostLearnsOfItSecondsLater() {
    crash(LATER, DEADLY, nowMs - RUN_MS);
    long takenMs = nowMs - RUN_MS;
    pass(3_000);
    crash(EARLIER, INNOCENT, takenMs);
    twoMore();
    assertEquals(CrashVerdict.REFUSED, ledger.verdict(DEADLY, nowMs));
  }

  @Test
  void theNextStartEndsAgainHoweverSoonItIsBack() {
    for (int i = 0; i < CrashRules.ENOUGH; i++) {
      crash(new HostIdentity("e-1", 1_000 * (i + 1)), DEADLY, nowMs - RUN_MS);
      pass(500 + RUN_MS);
    }
    assertEquals(CrashVerdict.REFUSED, ledger.verdict(DEADLY, nowMs));
  }

  @Test
  void hostsThatHearOfItInAnyOrderKnowTheSame() {
    List<CrashNews> news =
        List.of(
            crash(EARLIER, INNOCENT, nowMs - 5_000),
            new CrashLedger(HOST).crashed(LATER, DEADLY.print(), nowMs - RUN_MS, nowMs),
            new CrashLedger(HOST).crashed(LATER, INNOCENT.print(), nowMs - RUN_MS, nowMs));
    CrashLedger first = new CrashLedger(HOST);
    CrashLedger second = new CrashLedger(HOST);
    for (int i = 0; i < news.size(); i++) {
      first.heard(news.get(i), nowMs);
      second.heard(news.get(news.size() - 1 - i), nowMs);
    }
    assertNotEquals(0, first.summary());
    assertEquals(first.summary(), second.summary());
    assertEquals(1, first.all().crashes().size());
  }

  /**
   * Seen: hosts took their own ends, as others told them back, for new ones, and told them on for
   * ever. An end that several reports made up had taken a request after its end.
   */
  @Test
  void anEndOfManyReportsIsNoNewsToWhoKnowsIt() {
    crash(EARLIER, INNOCENT, nowMs - 1_000);
    ledger.crashed(LATER, DEADLY.print(), nowMs + 150, nowMs + 300);
    ledger.crashed(EARLIER, new TestContent(3).print(), nowMs - 1_000, nowMs - 100);
    assertTrue(ledger.heard(ledger.all(), nowMs).isEmpty());
    assertEquals(1, ledger.all().crashes().size());
  }

  @Test
  void whateverAHostKnowsIsNoNewsToIt() {
    for (long seed = 1; seed <= 500; seed++) {
      Random random = new Random(seed);
      CrashLedger host = new CrashLedger(HOST);
      for (int i = 0; i < 30; i++) {
        HostIdentity endpoint = new HostIdentity("e-" + random.nextInt(2), random.nextInt(4));
        TestContent under = new TestContent(random.nextInt(5));
        long endedMs = nowMs - random.nextInt(3_000);
        host.crashed(endpoint, under.print(), endedMs - random.nextInt(800), endedMs);
      }
      assertTrue(host.heard(host.all(), nowMs).isEmpty(), "seed " + seed);
    }
  }
}
