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

/** Verifies that the checker reports each violated promise, and nothing else. */
class PromiseCheckerTest {
  private static final long REVOKE_MS = 5_000;

  private final PromiseChecker checker = new PromiseChecker(REVOKE_MS);

  /** The requests that a host's log mentions. */
  private final Set<String> logged = new HashSet<>();

  private long nowMs = 20_000;

  @BeforeEach
  void send() {
    checker.recordSent(
        "once", new PromiseChecker.SentRequest("/once/1", false, "k", "whole", 1_000));
    checker.recordSent(
        "look", new PromiseChecker.SentRequest("/look/1", true, "k", "whole", 1_000));
  }

  private void assertViolation(String text) {
    List<String> violations = checker.allViolations(nowMs, logged::contains);
    assertEquals(1, violations.size(), violations.toString());
    assertTrue(violations.get(0).contains(text), violations.get(0));
  }

  private void run(String id, String path) {
    checker.recordRun(id, path, SoakSite.WORKSPACE);
  }

  @Test
  void completeAnswersAndRepeatableRunsAreAccepted() {
    run("once", "/once/1");
    run("look", "/look/1");
    run("look", "/look/1");
    checker.recordAnswer("once", 200, "once", "seal", "whole");
    checker.recordAnswer("look", 503, null, null, "");
    checker.recordFailure();
    assertEquals(List.of(), checker.allViolations(nowMs, logged::contains));
    assertEquals(1, checker.successCount());
  }

  @Test
  void secondRunIsReported() {
    run("once", "/once/1");
    run("once", "/once/1");
    assertViolation("ran 2 times");
  }

  @Test
  void runAfterRefusalIsReported() {
    checker.recordAnswer("once", 503, null, null, "");
    assertEquals(List.of(), checker.allViolations(nowMs, logged::contains));
    run("once", "/once/1");
    assertViolation("although it was refused with 503");
  }

  @Test
  void runOfUnknownRequestIsReported() {
    run("other", "/once/1");
    assertViolation("which nobody sent");
  }

  @Test
  void runForAnotherWorkspaceIsReported() {
    checker.recordRun("once", "/once/1", "lab");
    assertViolation("of lab");
  }

  @Test
  void changedPathIsReported() {
    run("once", "/once/2");
    assertViolation("ran as /once/2");
  }

  @Test
  void incompleteAnswerIsReported() {
    checker.recordAnswer("look", 200, "look", "seal", "who");
    assertViolation("was answered");
  }

  @Test
  void successWithoutSealIsReported() {
    checker.recordAnswer("look", 200, "look", null, "whole");
    assertViolation("was answered");
  }

  /** A late second answer has the request's id, a seal and the right body. */
  @Test
  void successOfARequestWhoseRunsFailedIsReported() {
    run("look", "/look/1");
    checker.recordFailedRun("look");
    checker.recordAnswer("look", 200, "look", "seal", "whole");
    assertViolation("though each run of it failed");
  }

  @Test
  void successOfARequestOfWhichOneRunFailedIsAccepted() {
    run("look", "/look/1");
    checker.recordFailedRun("look");
    run("look", "/look/1");
    checker.recordAnswer("look", 200, "look", "seal", "whole");
    assertEquals(List.of(), checker.allViolations(nowMs, logged::contains));
  }

  @Test
  void sealedFailureThatNoEndpointGaveIsReported() {
    run("look", "/look/1");
    checker.recordAnswer("look", 409, "look", "seal", "failed");
    assertViolation("though no run of it failed");
  }

  @Test
  void halfAnAnswerIsReported() {
    run("look", "/look/1");
    checker.recordAnswer("look", 200, "look", "seal", "who");
    assertViolation("was answered");
  }

  @Test
  void answerToAnotherRequestIsReported() {
    checker.recordAnswer("look", 200, "once", "seal", "whole");
    assertViolation("was answered for once");
  }

  @Test
  void denialOfValidKeyIsReported() {
    checker.recordAnswer("look", 401, null, null, "");
    assertViolation("was denied with 401");
  }

  @Test
  void runLongAfterKeyRevocationIsReported() {
    checker.recordRevocation("k", 0);
    run("once", "/once/1");
    assertEquals(List.of(), checker.allViolations(nowMs, logged::contains));
    checker.recordSent(
        "late", new PromiseChecker.SentRequest("/look/9", true, "k", "whole", REVOKE_MS + 1));
    run("late", "/look/9");
    assertViolation("after its key was revoked");
  }

  /** Reserves memory from 1,000 ms on and renews the reservation until a time. */
  private void reserveUntil(long untilMs) {
    for (long atMs = 1_000; atMs < untilMs; atMs += 1_000) {
      checker.reservations().recordReserved("ticket", "engine-1", 3_500, atMs);
    }
    checker.reservations().recordReleased("ticket", untilMs);
  }

  @Test
  void memoryReleasedSoonAfterUseIsAccepted() {
    EndpointRun run = checker.recordArrival("look", List.of("ticket"));
    run.complete(8_000);
    reserveUntil(12_000);
    assertEquals(List.of(), checker.allViolations(nowMs, logged::contains));
  }

  @Test
  void memoryReservedLongAfterUseIsReported() {
    EndpointRun run = checker.recordArrival("look", List.of("ticket"));
    run.complete(8_000);
    reserveUntil(12_400);
    assertViolation("memory ticket of engine-1 stayed reserved for 4400 ms");
  }

  @Test
  void memoryReservedLongAfterMainEngineHungIsReported() {
    EndpointRun run = checker.recordArrival("look", List.of("ticket"));
    run.abort(8_000);
    reserveUntil(13_000);
    assertViolation("memory ticket of engine-1 stayed reserved for 5000 ms");
  }

  @Test
  void memoryStillReservedAtTheEndIsReported() {
    checker.recordArrival("look", List.of("ticket")).complete(1_500);
    checker.reservations().recordReserved("ticket", "engine-1", 60_000, 1_000);
    nowMs = 5_500;
    assertEquals(List.of(), checker.allViolations(nowMs, logged::contains));
    nowMs = 6_000;
    assertViolation("stayed reserved for 4500 ms");
  }

  @Test
  void unusedTimeCountsFromLastUse() {
    checker.recordArrival("look", List.of("ticket")).complete(2_000);
    checker.recordArrival("look", List.of("ticket")).complete(8_000);
    reserveUntil(12_000);
    assertEquals(List.of(), checker.allViolations(nowMs, logged::contains));
  }

  @Test
  void expiredAndNewReservationAreSeparateSpans() {
    checker.recordArrival("look", List.of("ticket")).complete(2_000);
    checker.reservations().recordReserved("ticket", "engine-1", 3_500, 1_000);
    checker.reservations().recordReserved("ticket", "engine-1", 3_500, 7_000);
    assertEquals(List.of(), checker.allViolations(nowMs, logged::contains));
  }

  @Test
  void terminatedEnginesAndUnobservableCompletionsAreNotChecked() {
    checker.recordArrival("look", List.of("ticket")).complete(2_000);
    checker.reservations().recordReserved("ticket", "engine-1", 60_000, 1_000);
    checker.reservations().recordEngineEnd("engine-1", 3_000);
    EndpointRun lost = checker.recordArrival("look", List.of("other"));
    lost.markImpaired();
    lost.complete(2_000);
    checker.reservations().recordReserved("other", "engine-2", 60_000, 1_000);
    checker.recordArrival("look", List.of("open"));
    checker.reservations().recordReserved("open", "engine-2", 60_000, 1_000);
    assertEquals(List.of(), checker.allViolations(nowMs, logged::contains));
  }

  /** Shuts a host down from 10,000 ms until a time; its grace period is 8 s. */
  private void shutDown(long exitMs) {
    checker.shutdowns().recordStopSignal("host-1", 10_000);
    checker.shutdowns().recordExit(exitMs);
  }

  private void sendDuringShutdown(long atMs) {
    checker.shutdowns().recordSent("look", "host-1", 12_000, atMs);
  }

  private EndpointRun runAndAbort(long sentMs, long abortMs) {
    sendDuringShutdown(sentMs);
    EndpointRun run = checker.recordArrival("look", List.of());
    run.complete(abortMs);
    checker.shutdowns().recordAborted("look", false, abortMs);
    return run;
  }

  @Test
  void abortOfRequestAcceptedLateInShutdownIsReported() {
    shutDown(17_700);
    runAndAbort(15_200, 17_600);
    assertViolation("look was aborted 7600 ms after the stop signal to host-1, sent at 5200 ms");
  }

  @Test
  void abortOfOldRequestEarlyInShutdownIsReported() {
    shutDown(12_500);
    runAndAbort(9_000, 12_500);
    assertViolation("look was aborted 2500 ms after");
  }

  @Test
  void abortInTheMiddleOfAnAnswerIsReported() {
    shutDown(12_500);
    sendDuringShutdown(12_400);
    checker.shutdowns().recordAborted("look", true, 12_500);
    assertViolation("look was aborted");
  }

  @Test
  void answerWhoseEndpointCrashedJustAfterIsExcused() {
    shutDown(17_700);
    EndpointRun run = runAndAbort(12_000, 12_300);
    run.responseStarted();
    run.endpointCrashed(12_400);
    assertViolation("look was aborted 2300 ms after");
    checker.shutdowns().recordAborted("look", true, 12_450);
    assertEquals(List.of(), checker.allViolations(nowMs, logged::contains));
  }

  @Test
  void answerAbortedByEndpointAndNotContinuedIsExcused() {
    shutDown(17_700);
    EndpointRun first = checker.recordArrival("look", List.of());
    first.responseStarted();
    first.complete(12_100);
    first.endpointCrashed(12_200);
    EndpointRun second = runAndAbort(12_000, 12_300);
    assertFalse(second.isAborted(), "rejected there");
    assertViolation("look was aborted 2300 ms after");
    checker.shutdowns().recordAborted("look", true, 12_300);
    assertEquals(List.of(), checker.allViolations(nowMs, logged::contains));
  }

  @Test
  void answerContinuedByAnotherEndpointIsNotExcused() {
    shutDown(17_700);
    EndpointRun first = checker.recordArrival("look", List.of());
    first.responseStarted();
    first.abort(12_100);
    EndpointRun second = runAndAbort(12_000, 12_300);
    second.responseStarted();
    checker.shutdowns().recordAborted("look", true, 12_300);
    assertViolation("look was aborted 2300 ms after");
  }

  @Test
  void endpointThatAbortedBeforeItsAnswerExcusesNothing() {
    shutDown(17_700);
    checker.recordArrival("look", List.of()).abort(12_050);
    runAndAbort(12_000, 12_300).responseStarted();
    checker.shutdowns().recordAborted("look", true, 12_300);
    assertViolation("look was aborted 2300 ms after");
  }

  @Test
  void endpointThatCrashesLongAfterItsAnswerExcusesNothing() {
    shutDown(17_700);
    EndpointRun run = runAndAbort(12_000, 12_300);
    run.responseStarted();
    run.endpointCrashed(12_900);
    checker.shutdowns().recordAborted("look", true, 12_950);
    assertViolation("look was aborted 2950 ms after");
  }

  @Test
  void abortOfWaitingRequestIsReported() {
    shutDown(13_500);
    sendDuringShutdown(12_000);
    checker.shutdowns().recordAborted("look", false, 13_100);
    assertViolation("look was aborted");
  }

  @Test
  void abortOfLoggedRequestIsReported() {
    shutDown(13_500);
    sendDuringShutdown(12_000);
    checker.shutdowns().recordAborted("look", false, 12_300);
    logged.add("look");
    assertViolation("look was aborted");
  }

  @Test
  void connectionClosedBeforeReadIsAccepted() {
    shutDown(12_500);
    sendDuringShutdown(11_600);
    checker.shutdowns().recordAborted("look", false, 12_500);
    assertEquals(List.of(), checker.allViolations(nowMs, logged::contains));
  }

  @Test
  void oldRequestActiveInTheLastSixthMayBeAborted() {
    shutDown(17_700);
    runAndAbort(12_900, 17_600);
    assertEquals(List.of(), checker.allViolations(nowMs, logged::contains));
  }

  @Test
  void abortOfOldRequestBeforeTheLastSixthIsReported() {
    shutDown(17_700);
    runAndAbort(12_900, 16_000);
    assertViolation("look was aborted 6000 ms after");
  }

  @Test
  void requestPastItsDeadlineMayBeAborted() {
    shutDown(17_700);
    checker.shutdowns().recordSent("look", "host-1", 4_000, 13_500);
    checker.shutdowns().recordAborted("look", true, 17_500);
    assertEquals(List.of(), checker.allViolations(nowMs, logged::contains));
  }

  @Test
  void requestAbortedByItsEngineMayBeAborted() {
    shutDown(17_700);
    sendDuringShutdown(13_500);
    checker.recordArrival("look", List.of()).abort(15_000);
    checker.shutdowns().recordAborted("look", true, 15_001);
    assertEquals(List.of(), checker.allViolations(nowMs, logged::contains));
  }

  @Test
  void onlyRequestsDuringAnImpairmentMayBeAborted() {
    shutDown(17_700);
    checker.shutdowns().recordImpairmentStart(14_000);
    checker.shutdowns().recordImpairmentEnd(15_000);
    checker.shutdowns().recordSent("once", "host-1", 12_000, 14_500);
    checker.shutdowns().recordAborted("once", false, 17_600);
    assertEquals(List.of(), checker.allViolations(nowMs, logged::contains));
    sendDuringShutdown(15_500);
    checker.shutdowns().recordAborted("look", false, 17_600);
    assertViolation("look was aborted");
  }

  @Test
  void requestToARunningHostMayFail() {
    shutDown(17_700);
    checker.shutdowns().recordSent("look", "host-2", 12_000, 12_000);
    checker.shutdowns().recordAborted("look", true, 13_000);
    checker.shutdowns().recordSent("once", "host-1", 12_000, 18_000);
    checker.shutdowns().recordAborted("once", true, 18_100);
    assertEquals(List.of(), checker.allViolations(nowMs, logged::contains));
  }

  private void crash(String path, long atMs) {
    checker.crashes().recordCrash(path, atMs);
  }

  private void threeCrashes(String path) {
    for (int i = 0; i < 3; i++) {
      crash(path, 1_000 + i);
    }
    checker.crashes().recordSent("deadly", "host-1");
  }

  private void runAgain(int times, long atMs) {
    for (int i = 0; i < times; i++) {
      checker.crashes().recordRun("deadly", "/ask/deadly-1", atMs);
    }
  }

  @Test
  void fourthLateRunAfterThreeCrashesIsReported() {
    threeCrashes("/ask/deadly-1");
    runAgain(20, 3_500);
    runAgain(3, 5_000);
    assertEquals(List.of(), checker.allViolations(nowMs, logged::contains));
    runAgain(1, 6_000);
    assertViolation("ran 4 times after");
  }

  @Test
  void recentlySignalledHostIsNotChecked() {
    threeCrashes("/ask/deadly-1");
    checker.crashes().recordSignal("host-1", 4_000);
    runAgain(10, 13_000);
    assertEquals(List.of(), checker.allViolations(nowMs, logged::contains));
    runAgain(4, 14_000);
    assertViolation("ran 4 times after");
  }

  @Test
  void rejectionOfHarmlessRequestIsReported() {
    checker.crashes().recordAnswer("look", "{\"code\":\"ends_endpoints\"}");
    assertViolation("although it crashes no engine");
  }

  @Test
  void arrivalsAtDrainingEndpointsAreReported() {
    checker.notices().recordSent("told", "host-0", 10_000);
    checker.notices().recordDrainingNotice("told", "engine-0", 10_100);
    checker.notices().recordSent("later", "host-0", 13_000);
    checker.notices().recordArrival("later", "engine-0", 13_010);
    assertViolation("later reached engine-0");
  }

  @Test
  void lateNoticeOfAnEarlierIncarnationIsIgnored() {
    checker.notices().recordSent("told", "host-0", 10_000);
    checker.notices().recordArrival("told", "engine-0", 10_010);
    checker.notices().recordRestart("engine-0");
    checker.notices().recordDrainingNotice("told", "engine-0", 10_100);
    checker.notices().recordSent("later", "host-0", 13_000);
    checker.notices().recordArrival("later", "engine-0", 13_010);
    assertEquals(List.of(), checker.allViolations(nowMs, logged::contains));
    checker.notices().recordDrainingNotice("later", "engine-0", 13_100);
    checker.notices().recordSent("again", "host-0", 15_200);
    checker.notices().recordArrival("again", "engine-0", 15_210);
    assertViolation("again reached engine-0");
  }
}
