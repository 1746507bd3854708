// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.fawndrum.state.HostIdentity;
import org.junit.jupiter.api.Test;

/** Which requests are turned away for the endpoints that ended under them, and which are not. */
class CrashLedgerTest {
  private static final long START_MS = 1_000_000;
  private static final long APART_MS = CrashHistory.TOGETHER_MS + 50;

  /** When endpoints took requests, where that does not matter: long before they end. */
  private static final long TAKEN = START_MS - 1_000;

  private static final HostIdentity HOST = new HostIdentity("host-1", 1);
  private static final TestContent DEADLY = new TestContent(1);
  private static final TestContent INNOCENT = new TestContent(2);

  private final CrashLedger ledger = new CrashLedger(HOST);
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

  private CrashVerdict verdict(TestContent content) {
    return ledger.verdict(content, nowMs);
  }

  private void settle() {
    pass(CrashRules.SETTLE_MS + 1);
  }

  private void threeCrashes() {
    for (int i = 0; i < 3; i++) {
      crash("e-" + i, DEADLY);
      pass(APART_MS);
    }
    settle();
  }

  @Test
  void threeCrashesAreEnoughAndTwoAreNot() {
    crash("e-1", DEADLY);
    pass(APART_MS);
    crash("e-2", DEADLY);
    settle();
    assertEquals(CrashVerdict.FREE, verdict(DEADLY));
    crash("e-3", DEADLY);
    assertEquals(CrashVerdict.HELD, verdict(DEADLY), "before news can have come");
    settle();
    assertEquals(CrashVerdict.REFUSED, verdict(DEADLY));
    assertEquals(CrashVerdict.FREE, verdict(INNOCENT));
  }

  /**
   * Seen in a review: a request would have been held until its deadline. What speaks for it may
   * fall away long after its crashes have settled, when nothing more was to be decided.
   */
  @Test
  void nothingIsHeldForLong() {
    List<RefusedRequest> others = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      TestContent beside = new TestContent(10 + i);
      others.add(new RefusedRequest(beside.print(), nowMs, List.of()));
      crash("e-" + i, DEADLY);
      crash("f-" + i, beside);
      pass(3_000);
    }
    pass(10_000);
    assertEquals(CrashVerdict.FREE, verdict(DEADLY), "one of several each time");
    // Somebody knows what ended the others: they were no groups.
    ledger.heard(CrashNews.ofRefused(others), nowMs);
    verdict(DEADLY);
    pass(CrashRules.SETTLE_MS);
    assertEquals(CrashVerdict.REFUSED, verdict(DEADLY));
  }

  @Test
  void whatWasAnsweredLatelyDoesNotWait() {
    crash("e-1", INNOCENT);
    pass(20);
    ledger.served(INNOCENT, nowMs);
    crash("e-2", INNOCENT);
    crash("e-3", INNOCENT);
    assertEquals(CrashVerdict.FREE, verdict(INNOCENT));
  }

  @Test
  void whatWasOnEnginesThatAnotherEndedDoesNotWait() {
    threeCrashes();
    crash("e-7", DEADLY, INNOCENT);
    crash("e-8", DEADLY, INNOCENT);
    assertEquals(CrashVerdict.FREE, verdict(INNOCENT));
  }

  @Test
  void oneCrashThatSeveralReportCountsOnce() {
    for (int i = 0; i < 5; i++) {
      crash("e-1", DEADLY);
      pass(APART_MS);
    }
    settle();
    assertEquals(CrashVerdict.FREE, verdict(DEADLY));
  }

  /**
   * Seen: of two requests that ended endpoints at the same time, one was run four times after it
   * should have been known, not three. Its endpoints were back after half a second, and ended again
   * before any host had read of their new start; of its eight ends not all counted.
   *
   * <p>Cause: two ends of one known start within a second were taken for one. An endpoint that was
   * sent a request after its end had started again, whatever its entry says yet.
   *
   * <p>Proof: the three ends of this test counted as one. That this alone made the fourth run is
   * likely and not shown: it depends on the moments at which three hosts hear of each other.
   */
  @Test
  void oneThatTookARequestAfterItsEndHasEndedAgain() {
    HostIdentity endpoint = new HostIdentity("e-1", 1);
    for (int i = 0; i < 3; i++) {
      ledger.crashed(endpoint, DEADLY.print(), nowMs - 50, nowMs);
      pass(500);
    }
    assertEquals(CrashVerdict.REFUSED, verdict(DEADLY));
  }

  @Test
  void whatOthersSayOfWhenItTookARequestMayBeLateByTheWayOfTheNews() {
    HostIdentity endpoint = new HostIdentity("e-1", 1);
    for (int i = 0; i < 3; i++) {
      long endedMs = nowMs;
      ledger.crashed(endpoint, DEADLY.print(), endedMs - 50, endedMs);
      pass(CrashRules.SETTLE_MS);
      // Another host saw the same end, and had sent the request just before it.
      ledger.crashed(endpoint, DEADLY.print(), endedMs + 100, nowMs);
    }
    settle();
    assertEquals(CrashVerdict.FREE, verdict(DEADLY));
  }

  /** Seen: ends of one start that were reported again and again turned an innocent away. */
  @Test
  void oneStartEndsOnceHoweverLateItIsReportedAgain() {
    crash("x-1", DEADLY);
    for (int i = 0; i < 2 * CrashRules.ENOUGH_AMONG_OTHERS; i++) {
      crash("e-1", INNOCENT);
      pass(3_000);
    }
    assertEquals(CrashVerdict.FREE, verdict(INNOCENT));
    assertEquals(1, ledger.all().crashes().stream().filter(this::isOfInnocent).count());
  }

  private boolean isOfInnocent(EndpointCrash crash) {
    return crash.under().contains(INNOCENT.print());
  }

  @Test
  void anEndpointThatTellsNoStartMayEndAgain() {
    for (int i = 0; i < 3; i++) {
      ledger.crashed(new HostIdentity("e-1", 0), DEADLY.print(), TAKEN, nowMs);
      pass(3_000);
    }
    assertEquals(CrashVerdict.REFUSED, verdict(DEADLY));
  }

  @Test
  void endpointsThatEndTogetherAreNoEvidenceAtOneMoment() {
    for (int i = 0; i < 6; i++) {
      crash("e-" + i, DEADLY);
    }
    settle();
    assertEquals(CrashVerdict.FREE, verdict(DEADLY));
  }

  @Test
  void whatEndsWithOthersThatHadItNotIsNoEvidence() {
    for (int i = 0; i < 4; i++) {
      crash("e-" + i, INNOCENT);
      crash("f-" + i, new TestContent(100 + i));
      pass(3_000);
    }
    assertEquals(CrashVerdict.FREE, verdict(INNOCENT));
  }

  @Test
  void anAnswerOfAnEndpointThatLivesOnClearsIt() {
    crash("e-1", INNOCENT);
    pass(APART_MS);
    crash("e-2", INNOCENT);
    pass(APART_MS);
    ledger.served(INNOCENT, nowMs);
    crash("e-3", INNOCENT);
    settle();
    assertEquals(CrashVerdict.FREE, verdict(INNOCENT));
  }

  @Test
  void whatManySendIsServedThoughAThirdOfTheEndpointsEndsAgainAndAgain() {
    for (int group = 0; group < 3; group++) {
      for (int i = 0; i < 6; i++) {
        crash("e-" + group + "-" + i, INNOCENT);
      }
      pass(20);
      assertNotEquals(CrashVerdict.REFUSED, verdict(INNOCENT));
      // The others answer it within the time that a short read takes.
      ledger.served(INNOCENT, nowMs);
      pass(3_000);
      assertEquals(CrashVerdict.FREE, verdict(INNOCENT));
    }
  }

  @Test
  void onlyTheOneThatWasOnAllOfThemIsTurnedAway() {
    TestContent[] beside = {new TestContent(3), new TestContent(4), new TestContent(5)};
    crash("e-1", DEADLY, INNOCENT, beside[0]);
    pass(APART_MS);
    crash("e-2", DEADLY, INNOCENT, beside[1]);
    pass(APART_MS);
    crash("e-3", DEADLY, INNOCENT, beside[2]);
    settle();
    assertNotEquals(CrashVerdict.REFUSED, verdict(INNOCENT), "either may be it");
    crash("e-4", DEADLY, beside[0]);
    settle();
    assertEquals(CrashVerdict.REFUSED, verdict(DEADLY));
    crash("e-5", DEADLY, INNOCENT);
    settle();
    assertEquals(CrashVerdict.FREE, verdict(INNOCENT));
    assertEquals(CrashVerdict.FREE, verdict(beside[0]));
  }

  @Test
  void twoRequestsThatEndEndpointsAtTheSameTimesAreBothTurnedAway() {
    TestContent other = new TestContent(9);
    for (int i = 0; i < 8; i++) {
      crash("e-" + i, DEADLY);
      pass(90);
      crash("f-" + i, other);
      pass(160);
    }
    settle();
    assertEquals(CrashVerdict.REFUSED, verdict(DEADLY));
    assertEquals(CrashVerdict.REFUSED, verdict(other));
  }

  /**
   * Seen: after the first of two that had been on the same endpoints was turned away, all of these
   * counted as explained by it, and the second began again at none and ended five more.
   */
  @Test
  void oneThatWentOnWithoutTheOtherHadItsPartInWhatBothWereOn() {
    TestContent second = new TestContent(9);
    crash("x-1", INNOCENT);
    pass(3_000);
    for (int i = 0; i < 3; i++) {
      crash("e-" + i, DEADLY, second);
      pass(3_000);
    }
    for (int i = 3; i < CrashRules.ENOUGH_AMONG_OTHERS; i++) {
      crash("e-" + i, DEADLY);
      pass(3_000);
    }
    assertEquals(CrashVerdict.REFUSED, verdict(DEADLY));
    assertEquals(CrashVerdict.FREE, verdict(second), "explained by the other");
    for (int i = 0; i < CrashRules.ENOUGH; i++) {
      assertNotEquals(CrashVerdict.REFUSED, verdict(second), "it may have been the other");
      crash("f-" + i, second);
      pass(3_000);
    }
    assertEquals(CrashVerdict.REFUSED, verdict(second));
  }

  @Test
  void oneSeesOneAndAnotherTwo() {
    CrashLedger second = new CrashLedger(HOST);
    CrashLedger third = new CrashLedger(HOST);
    CrashNews one = ledger.crashed(new HostIdentity("e-1", 1), DEADLY.print(), TAKEN, nowMs);
    CrashNews two = second.crashed(new HostIdentity("e-2", 1), DEADLY.print(), TAKEN, nowMs + 300);
    CrashNews three =
        second.crashed(new HostIdentity("e-3", 1), DEADLY.print(), TAKEN, nowMs + 600);
    // Late, in another order, and twice.
    List.of(three, one, two, one, three).forEach(news -> third.heard(news, nowMs + 700));
    third.decide(nowMs + 900);
    assertEquals(CrashVerdict.REFUSED, third.verdict(DEADLY, nowMs + 900));
  }

  @Test
  void aHostThatKnowsNothingLearnsItFromOneMessage() {
    threeCrashes();
    CrashLedger later = new CrashLedger(HOST);
    assertNotEquals(ledger.summary(), later.summary());
    later.heard(ledger.all(), nowMs);
    assertEquals(CrashVerdict.REFUSED, later.verdict(DEADLY, nowMs));
    assertEquals(ledger.summary(), later.summary());
    assertTrue(later.heard(ledger.all(), nowMs).isEmpty(), "told on for ever");
  }

  @Test
  void anOperatorLetsItGoEverywhere() {
    threeCrashes();
    CrashLedger other = new CrashLedger(HOST);
    other.heard(ledger.all(), nowMs);
    CrashNews word = other.letGo(DEADLY.print(), nowMs + 1_000);
    assertEquals(CrashVerdict.FREE, other.verdict(DEADLY, nowMs + 1_000));
    // One that missed the word tells what it still believes.
    other.heard(ledger.all(), nowMs + 2_000);
    assertEquals(CrashVerdict.FREE, other.verdict(DEADLY, nowMs + 2_000));
    ledger.heard(word, nowMs + 3_000);
    assertEquals(CrashVerdict.FREE, ledger.verdict(DEADLY, nowMs + 3_000));
  }

  @Test
  void itIsForgivenAnHourAfterItCameLast() {
    threeCrashes();
    assertEquals(CrashVerdict.REFUSED, verdict(DEADLY));
    nowMs += CrashLedger.FORGIVE_MS - 1;
    assertEquals(CrashVerdict.REFUSED, verdict(DEADLY));
    nowMs += CrashLedger.FORGIVE_MS - 1;
    assertEquals(CrashVerdict.REFUSED, verdict(DEADLY));
    nowMs += CrashLedger.FORGIVE_MS + 1;
    assertEquals(CrashVerdict.FREE, verdict(DEADLY));
  }

  @Test
  void onlySuspectsAreHashed() {
    AtomicInteger hashed = new AtomicInteger();
    RequestContent other =
        new RequestContent() {
          @Override
          public long bytes() {
            return DEADLY.bytes() + 1;
          }

          @Override
          public Optional<RequestFingerprint> fingerprint() {
            hashed.incrementAndGet();
            return Optional.of(INNOCENT.print());
          }
        };
    threeCrashes();
    assertEquals(CrashVerdict.FREE, ledger.verdict(other, nowMs));
    ledger.served(other, nowMs);
    assertEquals(0, hashed.get());
  }

  @Test
  void whoeverMakesSuspectsFillsNoMemory() {
    for (int i = 0; i < 10_000; i++) {
      for (int one = 0; one < 4; one++) {
        crash("e-" + i, new TestContent(10 + 4 * i + one));
      }
      pass(1);
    }
    CrashNews all = ledger.all();
    assertTrue(all.crashes().size() <= CrashHistory.MOST_CRASHES);
    for (int i = 0; i < 1_000; i++) {
      TestContent deadly = new TestContent(1_000_000 + i);
      for (int time = 0; time < CrashRules.ENOUGH_AMONG_OTHERS; time++) {
        crash("d-" + i + "-" + time, deadly);
        pass(APART_MS);
      }
    }
    settle();
    assertEquals(CrashLedger.MOST_REFUSED, ledger.refused().size());
    assertFalse(ledger.refused().isEmpty());
  }
}
