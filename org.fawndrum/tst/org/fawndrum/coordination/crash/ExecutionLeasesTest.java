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

  private final CrashRegistry registry = new CrashRegistry(new HostIdentity("host-1", 1));
  private long nowMs = START_MS;

  private void crash(String endpoint, TestContent... requests) {
    for (TestContent request : requests) {
      registry.recordCrash(
          new HostIdentity(endpoint, 1), request.knownFingerprint(), SENT_MS, nowMs);
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
    registry.recordAnswer(second, nowMs);
    assertFalse(registry.isIsolated(DEADLY), "the only suspect left");
  }

  @Test
  void requestWithThreeCrashesRunsOneCopyAtATime() {
    CrashRegistry other = new CrashRegistry(new HostIdentity("host-2", 1));
    crash("x-1", INNOCENT);
    advance(3_000);
    crash("e-1", DEADLY);
    advance(APART_MS);
    crash("e-2", DEADLY);
    settle();
    assertFalse(registry.needsLease(DEADLY));
    crash("e-3", DEADLY);
    settle();
    assertTrue(registry.needsLease(DEADLY));
    other.merge(registry.fullUpdate(), nowMs);
    // Both request a lease at the same time; the host with the lower name takes precedence.
    CrashUpdate otherLease = other.requestLease(DEADLY, nowMs);
    CrashUpdate ownLease = registry.requestLease(DEADLY, nowMs);
    assertTrue(
        registry.acquireLease(DEADLY, nowMs).isEmpty(), "no other host can have received it");
    assertTrue(registry.merge(otherLease, nowMs + 30).isEmpty());
    assertFalse(other.merge(ownLease, nowMs + 30).isEmpty(), "to be forwarded");
    nowMs += ExecutionLeases.PROPAGATION_MS;
    assertTrue(other.acquireLease(DEADLY, nowMs).isEmpty());
    assertTrue(registry.acquireLease(DEADLY, nowMs).isPresent());
    assertTrue(registry.acquireLease(DEADLY, nowMs).isEmpty(), "one copy");
    // The request crashes an endpoint; the next lease goes to the first host that requests it.
    other.merge(
        registry.recordCrash(new HostIdentity("e-4", 1), DEADLY.knownFingerprint(), nowMs, nowMs),
        nowMs);
    advance(APART_MS);
    assertFalse(other.requestLease(DEADLY, nowMs).isEmpty());
  }

  @Test
  void leaseIsReleasedOrExpires() {
    CrashRegistry other = new CrashRegistry(new HostIdentity("host-2", 1));
    other.merge(registry.requestLease(DEADLY, nowMs), nowMs);
    advance(ExecutionLeases.PROPAGATION_MS);
    ExecutionLease lease = registry.acquireLease(DEADLY, nowMs).orElseThrow();
    assertTrue(registry.isLeaseValid(lease, nowMs));
    registry.releaseLease(lease);
    assertFalse(registry.isLeaseValid(lease, nowMs));
    assertFalse(registry.requestLease(DEADLY, nowMs).isEmpty());
    assertTrue(other.requestLease(DEADLY, nowMs).isEmpty(), "it has not received the release");
    ExecutionLease second = acquiredLease();
    registry.releaseLease(lease);
    assertTrue(
        registry.isLeaseValid(second, nowMs), "released by the holder of the previous lease");
    advance(ExecutionLeases.LEASE_MS);
    assertFalse(registry.isLeaseValid(second, nowMs));
    assertFalse(other.requestLease(DEADLY, nowMs).isEmpty());
  }

  private ExecutionLease acquiredLease() {
    advance(ExecutionLeases.PROPAGATION_MS);
    return registry.acquireLease(DEADLY, nowMs).orElseThrow();
  }

  private void threeAmbiguousCrashes() {
    crash("x-1", INNOCENT);
    advance(3_000);
    for (int i = 0; i < 3; i++) {
      crash("e-" + i, DEADLY);
      advance(3_000);
    }
  }

  private CrashUpdate inconclusiveRun() {
    advance(ExecutionLeases.LEASE_MS);
    assertFalse(registry.requestLease(DEADLY, nowMs).isEmpty());
    ExecutionLease lease = acquiredLease();
    advance(1_100);
    return registry.recordInconclusiveRun(lease);
  }

  /**
   * Guards against this failure: three runs of a request that crashes engines were behind a faulty
   * link, where no host could prove a crash. They counted nowhere, and three more runs followed.
   */
  @Test
  void requestIsQuarantinedOnAllHostsAfterThreeInconclusiveRuns() {
    CrashRegistry other = new CrashRegistry(new HostIdentity("host-2", 1));
    threeAmbiguousCrashes();
    for (int i = 0; i < InconclusiveRunTable.MAX_RUNS; i++) {
      assertEquals(0, registry.quarantinedUntilMs(DEADLY));
      CrashUpdate update = inconclusiveRun();
      assertFalse(other.merge(update, nowMs).isEmpty(), "to be forwarded");
      assertTrue(other.merge(update, nowMs + 40).isEmpty(), "forwarded twice");
    }
    other.merge(registry.fullUpdate(), nowMs);
    for (CrashRegistry host : List.of(registry, other)) {
      long untilMs = host.quarantinedUntilMs(DEADLY);
      assertTrue(untilMs > nowMs + InconclusiveRunTable.QUARANTINE_MS / 2);
      assertTrue(host.requestLease(DEADLY, untilMs - 1).isEmpty());
      assertFalse(host.requestLease(DEADLY, untilMs).isEmpty(), "one more after it");
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
    assertNotEquals(CrashVerdict.REJECTED, registry.verdict(DEADLY, nowMs));
    assertTrue(registry.quarantinedUntilMs(DEADLY) > nowMs);
  }

  @Test
  void crashesOfSuspectAreKeptDespiteManyOthers() {
    threeAmbiguousCrashes();
    for (int i = 0; i < 2 * CrashHistory.MAX_CRASHES; i++) {
      crash("o-" + i, new TestContent(100 + i));
      advance(500);
    }
    assertTrue(registry.needsLease(DEADLY));
  }

  @Test
  void manySuspectsDoNotPreventDetection() {
    for (int i = 0; i < 2 * CrashHistory.MAX_CRASHES; i++) {
      crash("o-" + i, new TestContent(100 + i / 2));
      advance(100);
    }
    threeAmbiguousCrashes();
    assertTrue(registry.needsLease(DEADLY));
  }

  @Test
  void answerEndsQuarantineOnAllHosts() {
    CrashRegistry other = new CrashRegistry(new HostIdentity("host-2", 1));
    threeAmbiguousCrashes();
    for (int i = 0; i < InconclusiveRunTable.MAX_RUNS; i++) {
      inconclusiveRun();
    }
    other.merge(registry.fullUpdate(), nowMs);
    CrashUpdate answered = registry.recordAnswer(DEADLY, nowMs);
    other.merge(answered, nowMs);
    assertEquals(0, registry.quarantinedUntilMs(DEADLY));
    assertEquals(0, other.quarantinedUntilMs(DEADLY));
  }

  @Test
  void leaseWithKnownCrashIsNotCountedAsInconclusive() {
    threeAmbiguousCrashes();
    registry.requestLease(DEADLY, nowMs);
    ExecutionLease lease = acquiredLease();
    crash("f-1", DEADLY);
    assertTrue(registry.recordInconclusiveRun(lease).isEmpty());
  }
}
