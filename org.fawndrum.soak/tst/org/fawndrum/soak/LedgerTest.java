// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Each promise that the ledger checks is seen when it is broken, and only then. */
class LedgerTest {
  private static final long REVOKE_MS = 5_000;

  private final Ledger ledger = new Ledger(REVOKE_MS);

  /** The requests that a host's log names. */
  private final Set<String> logged = new HashSet<>();

  private long nowMs = 20_000;

  @BeforeEach
  void send() {
    ledger.sent("once", new Ledger.Sent("/once/1", false, "k", "whole", 1_000));
    ledger.sent("look", new Ledger.Sent("/look/1", true, "k", "whole", 1_000));
  }

  private void broken(String what) {
    List<String> verdict = ledger.verdict(nowMs, logged::contains);
    assertEquals(1, verdict.size(), verdict.toString());
    assertTrue(verdict.get(0).contains(what), verdict.get(0));
  }

  private void ran(String id, String path) {
    ledger.ran(id, path, SoakSite.WORKSPACE);
  }

  @Test
  void wholeAnswersAndRepeatsOfWhatMayBeRepeatedAreFine() {
    ran("once", "/once/1");
    ran("look", "/look/1");
    ran("look", "/look/1");
    ledger.answered("once", 200, "once", "seal", "whole");
    ledger.answered("look", 503, null, null, "");
    ledger.failed();
    assertEquals(List.of(), ledger.verdict(nowMs, logged::contains));
    assertEquals(1, ledger.served());
  }

  @Test
  void aSecondRun() {
    ran("once", "/once/1");
    ran("once", "/once/1");
    broken("ran 2 times");
  }

  @Test
  void aRunAfterARefusal() {
    ledger.answered("once", 503, null, null, "");
    assertEquals(List.of(), ledger.verdict(nowMs, logged::contains));
    ran("once", "/once/1");
    broken("though it was refused with 503");
  }

  @Test
  void aRunThatNobodySent() {
    ran("other", "/once/1");
    broken("which nobody sent");
  }

  @Test
  void aRunForAnotherWorkspace() {
    ledger.ran("once", "/once/1", "lab");
    broken("of lab");
  }

  @Test
  void aChangedPath() {
    ran("once", "/once/2");
    broken("ran as /once/2");
  }

  @Test
  void aSuccessThatIsNotWhole() {
    ledger.answered("look", 200, "look", "seal", "who");
    broken("was answered");
  }

  @Test
  void aSuccessWithoutASeal() {
    ledger.answered("look", 200, "look", null, "whole");
    broken("was answered");
  }

  @Test
  void theAnswerOfAnother() {
    ledger.answered("look", 200, "once", "seal", "whole");
    broken("was answered for once");
  }

  @Test
  void aDenialThoughTheKeyHolds() {
    ledger.answered("look", 401, null, null, "");
    broken("was denied with 401");
  }

  @Test
  void aRunLongAfterItsKeyWasRevoked() {
    ledger.revoked("k", 0);
    ran("once", "/once/1");
    assertEquals(List.of(), ledger.verdict(nowMs, logged::contains));
    ledger.sent("late", new Ledger.Sent("/look/9", true, "k", "whole", REVOKE_MS + 1));
    ran("late", "/look/9");
    broken("after its key was revoked");
  }

  /** Sets memory aside from 1,000 ms on with a lease that is renewed until a time. */
  private void holdUntil(long untilMs) {
    for (long atMs = 1_000; atMs < untilMs; atMs += 1_000) {
      ledger.memory().reserved("ticket", "engine-1", 3_500, atMs);
    }
    ledger.memory().released("ticket", untilMs);
  }

  @Test
  void memoryThatIsFreedSoonAfterItsUseIsFine() {
    EndpointRun run = ledger.arrived("look", List.of("ticket"));
    run.over(8_000);
    holdUntil(12_000);
    assertEquals(List.of(), ledger.verdict(nowMs, logged::contains));
  }

  @Test
  void memoryThatIsHeldLongAfterItsUse() {
    EndpointRun run = ledger.arrived("look", List.of("ticket"));
    run.over(8_000);
    holdUntil(12_400);
    broken("memory ticket of engine-1 stayed set aside for 4400 ms");
  }

  @Test
  void memoryThatIsHeldLongAfterItsFirstEngineFellSilent() {
    EndpointRun run = ledger.arrived("look", List.of("ticket"));
    run.brokenOff(8_000);
    holdUntil(13_000);
    broken("memory ticket of engine-1 stayed set aside for 5000 ms");
  }

  @Test
  void memoryThatIsStillHeldAtTheEnd() {
    ledger.arrived("look", List.of("ticket")).over(1_500);
    ledger.memory().reserved("ticket", "engine-1", 60_000, 1_000);
    nowMs = 5_500;
    assertEquals(List.of(), ledger.verdict(nowMs, logged::contains));
    nowMs = 6_000;
    broken("stayed set aside for 4500 ms");
  }

  @Test
  void memoryCountsFromTheLastUse() {
    ledger.arrived("look", List.of("ticket")).over(2_000);
    ledger.arrived("look", List.of("ticket")).over(8_000);
    holdUntil(12_000);
    assertEquals(List.of(), ledger.verdict(nowMs, logged::contains));
  }

  @Test
  void aLeaseThatLapsedAndCameAgainIsNotOneSpan() {
    ledger.arrived("look", List.of("ticket")).over(2_000);
    ledger.memory().reserved("ticket", "engine-1", 3_500, 1_000);
    ledger.memory().reserved("ticket", "engine-1", 3_500, 7_000);
    assertEquals(List.of(), ledger.verdict(nowMs, logged::contains));
  }

  @Test
  void memoryOfAnEngineThatIsGoneAndUsesWhoseEndNobodyCanSeeAreNotJudged() {
    ledger.arrived("look", List.of("ticket")).over(2_000);
    ledger.memory().reserved("ticket", "engine-1", 60_000, 1_000);
    ledger.memory().gone("engine-1", 3_000);
    EndpointRun lost = ledger.arrived("look", List.of("other"));
    lost.harmed();
    lost.over(2_000);
    ledger.memory().reserved("other", "engine-2", 60_000, 1_000);
    ledger.arrived("look", List.of("open"));
    ledger.memory().reserved("open", "engine-2", 60_000, 1_000);
    assertEquals(List.of(), ledger.verdict(nowMs, logged::contains));
  }

  /** A host is told to stop at 10,000 ms and ends at a time; its grace period is 8 s. */
  private void stop(long endedMs) {
    ledger.stops().ordered("host-1", 10_000);
    ledger.stops().ended(endedMs);
  }

  private void sentToStopping(long atMs) {
    ledger.stops().sent("look", "host-1", 12_000, atMs);
  }

  private EndpointRun runAndCut(long sentMs, long cutMs) {
    sentToStopping(sentMs);
    EndpointRun run = ledger.arrived("look", List.of());
    run.over(cutMs);
    ledger.stops().cut("look", false, cutMs);
    return run;
  }

  @Test
  void aRequestThatAStoppingHostTookLateAndCut() {
    stop(17_700);
    runAndCut(15_200, 17_600);
    broken("look was cut 7600 ms after host-1 was told to stop, sent at 5200 ms");
  }

  @Test
  void aRequestInProgressThatAStoppingHostCutEarly() {
    stop(12_500);
    runAndCut(9_000, 12_500);
    broken("look was cut 2500 ms after");
  }

  @Test
  void anAnswerThatAStoppingHostCutInTheMiddle() {
    stop(12_500);
    sentToStopping(12_400);
    ledger.stops().cut("look", true, 12_500);
    broken("look was cut");
  }

  @Test
  void anAnswerWhoseEndpointEndedJustBehindItIsNotCutByTheStop() {
    stop(17_700);
    EndpointRun run = runAndCut(12_000, 12_300);
    run.answerBegan();
    run.endpointEnded(12_400);
    broken("look was cut 2300 ms after");
    ledger.stops().cut("look", true, 12_450);
    assertEquals(List.of(), ledger.verdict(nowMs, logged::contains));
  }

  @Test
  void anAnswerThatItsEndpointBrokeOffAndNoOtherWentOnWithIsNotCutByTheStop() {
    stop(17_700);
    EndpointRun first = ledger.arrived("look", List.of());
    first.answerBegan();
    first.over(12_100);
    first.endpointEnded(12_200);
    EndpointRun second = runAndCut(12_000, 12_300);
    assertFalse(second.isBrokenOff(), "it was turned away there");
    broken("look was cut 2300 ms after");
    ledger.stops().cut("look", true, 12_300);
    assertEquals(List.of(), ledger.verdict(nowMs, logged::contains));
  }

  @Test
  void anAnswerThatAnotherEndpointWentOnWithIsCutByTheStop() {
    stop(17_700);
    EndpointRun first = ledger.arrived("look", List.of());
    first.answerBegan();
    first.brokenOff(12_100);
    EndpointRun second = runAndCut(12_000, 12_300);
    second.answerBegan();
    ledger.stops().cut("look", true, 12_300);
    broken("look was cut 2300 ms after");
  }

  @Test
  void anEndpointThatBrokeOffBeforeItAnsweredExcusesNoCutOfAnothersAnswer() {
    stop(17_700);
    ledger.arrived("look", List.of()).brokenOff(12_050);
    runAndCut(12_000, 12_300).answerBegan();
    ledger.stops().cut("look", true, 12_300);
    broken("look was cut 2300 ms after");
  }

  @Test
  void anEndpointThatEndsLongAfterItsAnswerExcusesNothing() {
    stop(17_700);
    EndpointRun run = runAndCut(12_000, 12_300);
    run.answerBegan();
    run.endpointEnded(12_900);
    ledger.stops().cut("look", true, 12_950);
    broken("look was cut 2950 ms after");
  }

  @Test
  void aRequestThatWaitedAtAStoppingHostAndWasCut() {
    stop(13_500);
    sentToStopping(12_000);
    ledger.stops().cut("look", false, 13_100);
    broken("look was cut");
  }

  @Test
  void aRequestThatTheHostNamedAndCutSoonAfter() {
    stop(13_500);
    sentToStopping(12_000);
    ledger.stops().cut("look", false, 12_300);
    logged.add("look");
    broken("look was cut");
  }

  @Test
  void aConnectionThatClosedBeforeTheRequestWasReadIsFine() {
    stop(12_500);
    sentToStopping(11_600);
    ledger.stops().cut("look", false, 12_500);
    assertEquals(List.of(), ledger.verdict(nowMs, logged::contains));
  }

  @Test
  void workFromBeforeThatIsStillDoneInTheLastSixthMayBeCut() {
    stop(17_700);
    runAndCut(12_900, 17_600);
    assertEquals(List.of(), ledger.verdict(nowMs, logged::contains));
  }

  @Test
  void workFromBeforeThatIsCutBeforeTheLastSixth() {
    stop(17_700);
    runAndCut(12_900, 16_000);
    broken("look was cut 6000 ms after");
  }

  @Test
  void aRequestWhoseDeadlinePassedMayEnd() {
    stop(17_700);
    ledger.stops().sent("look", "host-1", 4_000, 13_500);
    ledger.stops().cut("look", true, 17_500);
    assertEquals(List.of(), ledger.verdict(nowMs, logged::contains));
  }

  @Test
  void aRequestThatItsEngineBrokeOffMayEnd() {
    stop(17_700);
    sentToStopping(13_500);
    ledger.arrived("look", List.of()).brokenOff(15_000);
    ledger.stops().cut("look", true, 15_001);
    assertEquals(List.of(), ledger.verdict(nowMs, logged::contains));
  }

  @Test
  void aRequestOnItsWayToAHarmedEndpointMayEndAndNoOther() {
    stop(17_700);
    ledger.stops().harmBegan(14_000);
    ledger.stops().harmEnded(15_000);
    ledger.stops().sent("once", "host-1", 12_000, 14_500);
    ledger.stops().cut("once", false, 17_600);
    assertEquals(List.of(), ledger.verdict(nowMs, logged::contains));
    sentToStopping(15_500);
    ledger.stops().cut("look", false, 17_600);
    broken("look was cut");
  }

  @Test
  void aRequestToAHostThatWasNotStoppingMayFail() {
    stop(17_700);
    ledger.stops().sent("look", "host-2", 12_000, 12_000);
    ledger.stops().cut("look", true, 13_000);
    ledger.stops().sent("once", "host-1", 12_000, 18_000);
    ledger.stops().cut("once", true, 18_100);
    assertEquals(List.of(), ledger.verdict(nowMs, logged::contains));
  }

  private void crash(String path, long atMs) {
    ledger.crashes().crashed(path, atMs);
  }

  private void threeCrashes(String path) {
    for (int i = 0; i < 3; i++) {
      crash(path, 1_000 + i);
    }
    ledger.crashes().sent("deadly", "host-1");
  }

  private void runsAgain(int times, long atMs) {
    for (int i = 0; i < times; i++) {
      ledger.crashes().ran("deadly", "/ask/deadly-1", atMs);
    }
  }

  @Test
  void aRequestThatRunsOnAfterThreeEnginesEndedUnderIt() {
    threeCrashes("/ask/deadly-1");
    runsAgain(20, 3_500);
    runsAgain(3, 5_000);
    assertEquals(List.of(), ledger.verdict(nowMs, logged::contains));
    runsAgain(1, 6_000);
    broken("ran 4 times after");
  }

  @Test
  void aHostThatHadASignalIsNotJudged() {
    threeCrashes("/ask/deadly-1");
    ledger.crashes().troubled("host-1", 4_000);
    runsAgain(10, 13_000);
    assertEquals(List.of(), ledger.verdict(nowMs, logged::contains));
    runsAgain(4, 14_000);
    broken("ran 4 times after");
  }

  @Test
  void anInnocentThatIsTurnedAway() {
    ledger.crashes().answered("look", "{\"code\":\"ends_endpoints\"}");
    broken("though it ends no engine");
  }

  @Test
  void whatReachesAnEndpointThatLeavesIsPartOfTheVerdict() {
    ledger.notices().sent("told", "host-0", 10_000);
    ledger.notices().passedOn("told", "engine-0", 10_100);
    ledger.notices().sent("later", "host-0", 13_000);
    ledger.notices().arrived("later", "engine-0", 13_010);
    broken("later reached engine-0");
  }

  @Test
  void whatAnEarlierStartSaidBindsNobodyAtTheNextOneHoweverLateItsAnswerComes() {
    ledger.notices().sent("told", "host-0", 10_000);
    ledger.notices().arrived("told", "engine-0", 10_010);
    ledger.notices().over("engine-0");
    ledger.notices().passedOn("told", "engine-0", 10_100);
    ledger.notices().sent("later", "host-0", 13_000);
    ledger.notices().arrived("later", "engine-0", 13_010);
    assertEquals(List.of(), ledger.verdict(nowMs, logged::contains));
    ledger.notices().passedOn("later", "engine-0", 13_100);
    ledger.notices().sent("again", "host-0", 15_200);
    ledger.notices().arrived("again", "engine-0", 15_210);
    broken("again reached engine-0");
  }
}
