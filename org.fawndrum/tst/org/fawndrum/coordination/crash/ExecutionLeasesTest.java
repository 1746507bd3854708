// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.fawndrum.state.HostIdentity;
import org.junit.jupiter.api.Test;

/** Where and when suspected requests run until it is known which of them crashes endpoints. */
class ExecutionLeasesTest {
  /** Longer than the maximum time between crashes of one burst, in milliseconds. */
  private static final long APART_MS = CrashHistory.BURST_MS + 50;

  private static final long START_MS = 1_000_000;

  /** When requests were sent to endpoints: long before the crashes. */
  private static final long SENT_MS = START_MS - 1_000;

  private static final TestContent DEADLY = new TestContent(1);
  private static final TestContent INNOCENT = new TestContent(2);

  private final CrashLedger registry = new CrashLedger(new HostIdentity("host-1", 1));
  private long nowMs = START_MS;

  private void crash(String endpoint, TestContent... requests) {
    for (TestContent request : requests) {
      registry.crashed(new HostIdentity(endpoint, 1), request.knownFingerprint(), SENT_MS, nowMs);
    }
  }

  private void advance(long ms) {
    nowMs += ms;
    registry.decide(nowMs);
  }

  private void settle() {
    advance(CrashRules.SETTLE_MS + 1);
  }

  @Test
  void suspectsAreIsolatedFromEachOther() {
    TestContent second = new TestContent(9);
    crash("e-1", DEADLY, second, INNOCENT);
    advance(APART_MS);
    assertFalse(registry.isIsolated(DEADLY), "one crash each");
    crash("e-2", DEADLY, second);
    settle();
    assertTrue(registry.isIsolated(DEADLY));
    assertFalse(registry.isIsolated(INNOCENT));
    for (int i = 0; i < 20; i++) {
      HostIdentity endpoint = new HostIdentity("e-" + i, 1);
      assertNotEquals(registry.mayRunAt(DEADLY, endpoint), registry.mayRunAt(second, endpoint));
    }
    registry.served(second, nowMs);
    assertFalse(registry.isIsolated(DEADLY), "the only suspect left");
  }

  @Test
  void requestWithThreeCrashesRunsOneCopyAtATime() {
    CrashLedger other = new CrashLedger(new HostIdentity("host-2", 1));
    crash("x-1", INNOCENT);
    advance(3_000);
    crash("e-1", DEADLY);
    advance(APART_MS);
    crash("e-2", DEADLY);
    settle();
    assertFalse(registry.needsTurn(DEADLY));
    crash("e-3", DEADLY);
    settle();
    assertTrue(registry.needsTurn(DEADLY));
    other.heard(registry.all(), nowMs);
    // Both request a lease at the same time; the host with the lower name takes precedence.
    CrashNews otherLease = other.askTurn(DEADLY, nowMs);
    CrashNews ownLease = registry.askTurn(DEADLY, nowMs);
    assertTrue(registry.beginTurn(DEADLY, nowMs).isEmpty(), "no other host can have received it");
    assertTrue(registry.heard(otherLease, nowMs + 30).isEmpty());
    assertFalse(other.heard(ownLease, nowMs + 30).isEmpty(), "to be forwarded");
    nowMs += ExecutionLeases.PROPAGATION_MS;
    assertTrue(other.beginTurn(DEADLY, nowMs).isEmpty());
    assertTrue(registry.beginTurn(DEADLY, nowMs).isPresent());
    assertTrue(registry.beginTurn(DEADLY, nowMs).isEmpty(), "one copy");
    // The request crashes an endpoint; the next lease goes to the first host that requests it.
    other.heard(
        registry.crashed(new HostIdentity("e-4", 1), DEADLY.knownFingerprint(), nowMs, nowMs),
        nowMs);
    advance(APART_MS);
    assertFalse(other.askTurn(DEADLY, nowMs).isEmpty());
  }

  @Test
  void leaseIsReleasedOrExpires() {
    CrashLedger other = new CrashLedger(new HostIdentity("host-2", 1));
    other.heard(registry.askTurn(DEADLY, nowMs), nowMs);
    advance(ExecutionLeases.PROPAGATION_MS);
    SuspectTurn lease = registry.beginTurn(DEADLY, nowMs).orElseThrow();
    assertTrue(registry.lasts(lease, nowMs));
    registry.endTurn(lease);
    assertFalse(registry.lasts(lease, nowMs));
    assertFalse(registry.askTurn(DEADLY, nowMs).isEmpty());
    assertTrue(other.askTurn(DEADLY, nowMs).isEmpty(), "it has not received the release");
    SuspectTurn second = acquiredLease();
    registry.endTurn(lease);
    assertTrue(registry.lasts(second, nowMs), "released by the holder of the previous lease");
    advance(ExecutionLeases.LEASE_MS);
    assertFalse(registry.lasts(second, nowMs));
    assertFalse(other.askTurn(DEADLY, nowMs).isEmpty());
  }

  private SuspectTurn acquiredLease() {
    advance(ExecutionLeases.PROPAGATION_MS);
    return registry.beginTurn(DEADLY, nowMs).orElseThrow();
  }

  private void threeAmbiguousCrashes() {
    crash("x-1", INNOCENT);
    advance(3_000);
    for (int i = 0; i < 3; i++) {
      crash("e-" + i, DEADLY);
      advance(3_000);
    }
  }

  private CrashNews inconclusiveRun() {
    advance(ExecutionLeases.LEASE_MS);
    assertFalse(registry.askTurn(DEADLY, nowMs).isEmpty());
    SuspectTurn lease = acquiredLease();
    advance(1_100);
    return registry.spendTurn(lease);
  }

  /**
   * Guards against this failure: three runs of a request that crashes engines were behind a faulty
   * link, where no host could prove a crash. They counted nowhere, and three more runs followed.
   */
  @Test
  void requestIsQuarantinedOnAllHostsAfterThreeInconclusiveRuns() {
    CrashLedger other = new CrashLedger(new HostIdentity("host-2", 1));
    threeAmbiguousCrashes();
    for (int i = 0; i < InconclusiveRunTable.MAX_RUNS; i++) {
      assertEquals(0, registry.quarantinedUntilMs(DEADLY));
      CrashNews update = inconclusiveRun();
      assertFalse(other.heard(update, nowMs).isEmpty(), "to be forwarded");
      assertTrue(other.heard(update, nowMs + 40).isEmpty(), "forwarded twice");
    }
    other.heard(registry.all(), nowMs);
    for (CrashLedger host : List.of(registry, other)) {
      long untilMs = host.quarantinedUntilMs(DEADLY);
      assertTrue(untilMs > nowMs + InconclusiveRunTable.QUARANTINE_MS / 2);
      assertTrue(host.askTurn(DEADLY, untilMs - 1).isEmpty());
      assertFalse(host.askTurn(DEADLY, untilMs).isEmpty(), "one more after it");
    }
  }

  @Test
  void discountedCrashesCountTowardsQuarantine() {
    threeAmbiguousCrashes();
    for (int i = 0; i < InconclusiveRunTable.MAX_RUNS; i++) {
      assertEquals(0, registry.quarantinedUntilMs(DEADLY));
      crash("f-" + i, DEADLY);
      // An endpoint without the request crashes at the same instant.
      crash("g-" + i, new TestContent(10 + i));
      advance(3_000);
    }
    assertNotEquals(CrashVerdict.REFUSED, registry.verdict(DEADLY, nowMs));
    assertTrue(registry.quarantinedUntilMs(DEADLY) > nowMs);
  }

  @Test
  void crashesOfSuspectAreKeptDespiteManyOthers() {
    threeAmbiguousCrashes();
    for (int i = 0; i < 2 * CrashHistory.MAX_CRASHES; i++) {
      crash("o-" + i, new TestContent(100 + i));
      advance(500);
    }
    assertTrue(registry.needsTurn(DEADLY));
  }

  @Test
  void manySuspectsDoNotPreventDetection() {
    for (int i = 0; i < 2 * CrashHistory.MAX_CRASHES; i++) {
      crash("o-" + i, new TestContent(100 + i / 2));
      advance(100);
    }
    threeAmbiguousCrashes();
    assertTrue(registry.needsTurn(DEADLY));
  }

  @Test
  void answerEndsQuarantineOnAllHosts() {
    CrashLedger other = new CrashLedger(new HostIdentity("host-2", 1));
    threeAmbiguousCrashes();
    for (int i = 0; i < InconclusiveRunTable.MAX_RUNS; i++) {
      inconclusiveRun();
    }
    other.heard(registry.all(), nowMs);
    CrashNews answered = registry.served(DEADLY, nowMs);
    other.heard(answered, nowMs);
    assertEquals(0, registry.quarantinedUntilMs(DEADLY));
    assertEquals(0, other.quarantinedUntilMs(DEADLY));
  }

  @Test
  void leaseWithKnownCrashIsNotCountedAsInconclusive() {
    threeAmbiguousCrashes();
    registry.askTurn(DEADLY, nowMs);
    SuspectTurn lease = acquiredLease();
    crash("f-1", DEADLY);
    assertTrue(registry.spendTurn(lease).isEmpty());
  }
}
