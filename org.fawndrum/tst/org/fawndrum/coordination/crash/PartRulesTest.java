// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fawndrum.state.HostIdentity;
import org.junit.jupiter.api.Test;

/** Which parts of prompts are rejected, and how an innocent one becomes free again. */
class PartRulesTest {
  private static final RequestFingerprint FIRST = RequestFingerprint.ofPart("pool", 1);
  private static final RequestFingerprint DEADLY = RequestFingerprint.ofPart("pool", 2);
  private static final RequestFingerprint OTHER = RequestFingerprint.ofPart("pool", 3);
  private static final HostIdentity SELF = new HostIdentity("host-1", 1);

  /** Longer than two parts are told apart for. */
  private static final long LONG_MS = 5_000;

  private final CrashRegistry registry = new CrashRegistry(SELF);
  private long nowMs = 1_000_000;
  private long number;

  private TestContent request(RequestFingerprint... parts) {
    return new TestContent(++number, List.of(parts));
  }

  private void advance(long ms) {
    nowMs += ms;
    registry.decide(nowMs);
  }

  private void crash(RequestFingerprint... parts) {
    HostIdentity engine = new HostIdentity("e-" + ++number, 1);
    RequestFingerprint request = request().knownFingerprint();
    registry.recordCrash(
        new EndpointCrash(engine, nowMs - 50, nowMs, Set.of(request), Set.of(parts)), nowMs);
    advance(CrashRules.SETTLE_MS + CrashHistory.BURST_MS);
  }

  private CrashVerdict verdict(RequestFingerprint... parts) {
    return registry.verdict(request(parts), nowMs);
  }

  /** The first part has been cleared, so that only the deadly one remains. */
  private void rejectDeadly() {
    for (int i = 0; i < PartRules.MIN_CRASHES; i++) {
      crash(FIRST, DEADLY);
      registry.recordSoundParts(request(FIRST), nowMs);
    }
    advance(0);
  }

  @Test
  void aPartWithThreeCrashesIsRejectedWhateverElseThePromptHas() {
    rejectDeadly();
    assertEquals(CrashVerdict.REJECTED, verdict(FIRST, DEADLY));
    assertEquals(CrashVerdict.REJECTED, verdict(OTHER, DEADLY));
    assertEquals(CrashVerdict.ALLOWED, verdict(FIRST, OTHER));
  }

  @Test
  void crashesOfOneBurstCountOnce() {
    for (int i = 0; i < 5; i++) {
      HostIdentity engine = new HostIdentity("rack-" + i, 1);
      RequestFingerprint request = request().knownFingerprint();
      registry.recordCrash(
          new EndpointCrash(engine, nowMs - 50, nowMs, Set.of(request), Set.of(FIRST)), nowMs);
    }
    advance(LONG_MS);
    assertEquals(CrashVerdict.ALLOWED, verdict(FIRST));
  }

  @Test
  void anAnswerThatBeganEarlierClearsNoLaterCrash() {
    long beganMs = nowMs - 1;
    crash(DEADLY);
    crash(DEADLY);
    registry.recordSoundParts(request(DEADLY), beganMs);
    crash(DEADLY);
    assertEquals(CrashVerdict.REJECTED, verdict(DEADLY, OTHER, FIRST));
  }

  @Test
  void twoPartsThatExplainTheSameCrashesAreBothRejectedOnlyAfterAWhile() {
    crash(FIRST, DEADLY);
    crash(FIRST, DEADLY);
    crash(FIRST, DEADLY);
    assertEquals(CrashVerdict.ALLOWED, verdict(FIRST));
    advance(PartRules.UNDECIDED_MS);
    assertEquals(CrashVerdict.REJECTED, verdict(FIRST));
    assertEquals(CrashVerdict.REJECTED, verdict(FIRST, DEADLY));
  }

  @Test
  void oneSoundRequestAtATimeFreesAPartThatWasRejectedByMistake() {
    twoPartsThatExplainTheSameCrashesAreBothRejectedOnlyAfterAWhile();
    advance(PartRules.FIRST_TRIAL_MS);
    TestContent trial = request(FIRST, OTHER);
    assertEquals(CrashVerdict.ALLOWED, registry.verdict(trial, nowMs));
    assertTrue(registry.needsLease(trial));
    registry.requestLease(trial, nowMs);
    advance(ExecutionLeases.PROPAGATION_MS);
    assertTrue(registry.acquireLease(trial, nowMs).isPresent());
    assertEquals(Optional.empty(), registry.acquireLease(request(FIRST), nowMs), "a second trial");
    registry.recordSoundParts(trial, nowMs);
    assertFalse(registry.needsLease(request(FIRST)));
    assertEquals(CrashVerdict.ALLOWED, verdict(FIRST));
    assertTrue(registry.needsLease(request(FIRST, DEADLY)), "the other part stays rejected");
  }

  @Test
  void aFailedTrialIsNotRepeatedSoon() {
    rejectDeadly();
    advance(PartRules.FIRST_TRIAL_MS);
    TestContent trial = request(FIRST, DEADLY);
    assertEquals(CrashVerdict.ALLOWED, registry.verdict(trial, nowMs));
    registry.requestLease(trial, nowMs);
    advance(ExecutionLeases.PROPAGATION_MS);
    ExecutionLease lease = registry.acquireLease(trial, nowMs).orElseThrow();
    crash(FIRST, DEADLY);
    CrashUpdate failed = registry.recordInconclusiveRun(lease);
    assertFalse(failed.isEmpty(), "other hosts have to know");
    advance(LONG_MS);
    assertEquals(CrashVerdict.REJECTED, verdict(FIRST, DEADLY));
  }

  @Test
  void aRequestWithAnotherSuspectTriesNothing() {
    for (int i = 0; i < PartRules.MIN_CRASHES; i++) {
      crash(FIRST, DEADLY);
    }
    crash(FIRST);
    advance(LONG_MS);
    assertEquals(CrashVerdict.REJECTED, verdict(FIRST, DEADLY));
    assertEquals(CrashVerdict.ALLOWED, verdict(FIRST, OTHER));
  }

  @Test
  void aHostThatStartsLaterRejectsThePartToo() {
    rejectDeadly();
    CrashRegistry later = new CrashRegistry(new HostIdentity("host-2", 2));
    later.merge(registry.fullUpdate(), nowMs);
    assertEquals(CrashVerdict.REJECTED, later.verdict(request(OTHER, DEADLY), nowMs));
    assertEquals(registry.digest(), later.digest());
  }

  @Test
  void anOperatorClearsAPart() {
    rejectDeadly();
    registry.clearRejection(DEADLY, nowMs);
    assertEquals(CrashVerdict.ALLOWED, verdict(OTHER, DEADLY));
  }

  @Test
  void theSamePartOfAnotherServiceIsAnotherPart() {
    rejectDeadly();
    assertEquals(CrashVerdict.ALLOWED, verdict(RequestFingerprint.ofPart("visor", 2)));
  }
}
