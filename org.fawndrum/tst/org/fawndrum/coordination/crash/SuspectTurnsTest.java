// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.fawndrum.state.HostIdentity;
import org.junit.jupiter.api.Test;

/**
 * Where and when requests run that are suspected, until it is known which of them ends endpoints.
 */
class SuspectTurnsTest {
  /** Longer than two crashes that count as one moment are apart, in milliseconds. */
  private static final long APART_MS = CrashHistory.TOGETHER_MS + 50;

  private static final long START_MS = 1_000_000;

  /** When endpoints took requests: long before they end. */
  private static final long TAKEN = START_MS - 1_000;

  private static final TestContent DEADLY = new TestContent(1);
  private static final TestContent INNOCENT = new TestContent(2);

  private final CrashLedger ledger = new CrashLedger(new HostIdentity("host-1", 1));
  private long nowMs = START_MS;

  private void crash(String endpoint, TestContent... under) {
    for (TestContent one : under) {
      ledger.crashed(new HostIdentity(endpoint, 1), one.print(), TAKEN, nowMs);
    }
  }

  private void pass(long ms) {
    nowMs += ms;
    ledger.decide(nowMs);
  }

  private void settle() {
    pass(CrashRules.SETTLE_MS + 1);
  }

  @Test
  void oneOfSeveralSuspectsRunsOnEndpointsOfItsOwn() {
    TestContent second = new TestContent(9);
    crash("e-1", DEADLY, second, INNOCENT);
    pass(APART_MS);
    assertFalse(ledger.isIsolated(DEADLY), "one crash each");
    crash("e-2", DEADLY, second);
    settle();
    assertTrue(ledger.isIsolated(DEADLY));
    assertFalse(ledger.isIsolated(INNOCENT));
    for (int i = 0; i < 20; i++) {
      HostIdentity endpoint = new HostIdentity("e-" + i, 1);
      assertNotEquals(ledger.mayRunAt(DEADLY, endpoint), ledger.mayRunAt(second, endpoint));
    }
    ledger.served(second, nowMs);
    assertFalse(ledger.isIsolated(DEADLY), "the only one left");
  }

  @Test
  void oneUnderWhichThreeEndedRunsOnceAtATime() {
    CrashLedger other = new CrashLedger(new HostIdentity("host-2", 1));
    crash("x-1", INNOCENT);
    pass(3_000);
    crash("e-1", DEADLY);
    pass(APART_MS);
    crash("e-2", DEADLY);
    settle();
    assertFalse(ledger.needsTurn(DEADLY));
    crash("e-3", DEADLY);
    settle();
    assertTrue(ledger.needsTurn(DEADLY));
    other.heard(ledger.all(), nowMs);
    // Both ask at the same time; the one with the lower name goes first.
    CrashNews otherTurn = other.askTurn(DEADLY, nowMs);
    CrashNews ownTurn = ledger.askTurn(DEADLY, nowMs);
    assertTrue(ledger.beginTurn(DEADLY, nowMs).isEmpty(), "nobody can have heard of it");
    assertTrue(ledger.heard(otherTurn, nowMs + 30).isEmpty());
    assertFalse(other.heard(ownTurn, nowMs + 30).isEmpty(), "to be told on");
    nowMs += SuspectTurns.HEARD_MS;
    assertTrue(other.beginTurn(DEADLY, nowMs).isEmpty());
    assertTrue(ledger.beginTurn(DEADLY, nowMs).isPresent());
    assertTrue(ledger.beginTurn(DEADLY, nowMs).isEmpty(), "one copy");
    // It ends an endpoint; the next turn is for whoever asks first.
    other.heard(ledger.crashed(new HostIdentity("e-4", 1), DEADLY.print(), nowMs, nowMs), nowMs);
    pass(APART_MS);
    assertFalse(other.askTurn(DEADLY, nowMs).isEmpty());
  }

  @Test
  void aTurnThatCameToNothingIsGivenBackAndOneOfAHostThatIsGoneEnds() {
    CrashLedger other = new CrashLedger(new HostIdentity("host-2", 1));
    other.heard(ledger.askTurn(DEADLY, nowMs), nowMs);
    pass(SuspectTurns.HEARD_MS);
    SuspectTurn turn = ledger.beginTurn(DEADLY, nowMs).orElseThrow();
    assertTrue(ledger.lasts(turn, nowMs));
    ledger.endTurn(turn);
    assertFalse(ledger.lasts(turn, nowMs));
    assertFalse(ledger.askTurn(DEADLY, nowMs).isEmpty());
    assertTrue(other.askTurn(DEADLY, nowMs).isEmpty(), "it has not heard that");
    SuspectTurn second = begunTurn();
    ledger.endTurn(turn);
    assertTrue(ledger.lasts(second, nowMs), "ended by the copy that had the one before");
    pass(SuspectTurns.TURN_MS);
    assertFalse(ledger.lasts(second, nowMs));
    assertFalse(other.askTurn(DEADLY, nowMs).isEmpty());
  }

  private SuspectTurn begunTurn() {
    pass(SuspectTurns.HEARD_MS);
    return ledger.beginTurn(DEADLY, nowMs).orElseThrow();
  }

  private void threeAmongOthers() {
    crash("x-1", INNOCENT);
    pass(3_000);
    for (int i = 0; i < 3; i++) {
      crash("e-" + i, DEADLY);
      pass(3_000);
    }
  }

  private CrashNews spentTurn() {
    pass(SuspectTurns.TURN_MS);
    assertFalse(ledger.askTurn(DEADLY, nowMs).isEmpty());
    SuspectTurn turn = begunTurn();
    pass(1_100);
    return ledger.spendTurn(turn);
  }

  /**
   * Seen: three runs of a request that ends engines were behind a harmed connection, where no host
   * could prove an end; they counted nowhere, and three more followed.
   */
  @Test
  void aRequestThatRanInThreeTurnsWithoutAnswerOrEndIsQuarantinedAtAllHosts() {
    CrashLedger other = new CrashLedger(new HostIdentity("host-2", 1));
    threeAmongOthers();
    for (int i = 0; i < SpentTurns.MOST_TURNS; i++) {
      assertEquals(0, ledger.quarantinedUntilMs(DEADLY));
      CrashNews news = spentTurn();
      assertFalse(other.heard(news, nowMs).isEmpty(), "to be told on");
      assertTrue(other.heard(news, nowMs + 40).isEmpty(), "told twice");
    }
    other.heard(ledger.all(), nowMs);
    for (CrashLedger one : List.of(ledger, other)) {
      long untilMs = one.quarantinedUntilMs(DEADLY);
      assertTrue(untilMs > nowMs + SpentTurns.QUARANTINE_MS / 2);
      assertTrue(one.askTurn(DEADLY, untilMs - 1).isEmpty());
      assertFalse(one.askTurn(DEADLY, untilMs).isEmpty(), "one more after it");
    }
  }

  @Test
  void endsThatDoNotCountElsewhereCountAsTurns() {
    threeAmongOthers();
    for (int i = 0; i < SpentTurns.MOST_TURNS; i++) {
      assertEquals(0, ledger.quarantinedUntilMs(DEADLY));
      crash("f-" + i, DEADLY);
      // An endpoint without it ends at the same moment.
      crash("g-" + i, new TestContent(10 + i));
      pass(3_000);
    }
    assertNotEquals(CrashVerdict.REFUSED, ledger.verdict(DEADLY, nowMs));
    assertTrue(ledger.quarantinedUntilMs(DEADLY) > nowMs);
  }

  @Test
  void whatIsKnownOfASuspectOutlastsManyOtherEnds() {
    threeAmongOthers();
    for (int i = 0; i < 2 * CrashHistory.MOST_CRASHES; i++) {
      crash("o-" + i, new TestContent(100 + i));
      pass(500);
    }
    assertTrue(ledger.needsTurn(DEADLY));
  }

  @Test
  void manySuspectsDoNotKeepAnotherFromBeingFound() {
    for (int i = 0; i < 2 * CrashHistory.MOST_CRASHES; i++) {
      crash("o-" + i, new TestContent(100 + i / 2));
      pass(100);
    }
    threeAmongOthers();
    assertTrue(ledger.needsTurn(DEADLY));
  }

  @Test
  void anAnswerEndsTheQuarantineEverywhere() {
    CrashLedger other = new CrashLedger(new HostIdentity("host-2", 1));
    threeAmongOthers();
    for (int i = 0; i < SpentTurns.MOST_TURNS; i++) {
      spentTurn();
    }
    other.heard(ledger.all(), nowMs);
    CrashNews answered = ledger.served(DEADLY, nowMs);
    other.heard(answered, nowMs);
    assertEquals(0, ledger.quarantinedUntilMs(DEADLY));
    assertEquals(0, other.quarantinedUntilMs(DEADLY));
  }

  @Test
  void aTurnInWhichAnEndIsKnownIsNotSpentAgain() {
    threeAmongOthers();
    ledger.askTurn(DEADLY, nowMs);
    SuspectTurn turn = begunTurn();
    crash("f-1", DEADLY);
    assertTrue(ledger.spendTurn(turn).isEmpty());
  }
}
