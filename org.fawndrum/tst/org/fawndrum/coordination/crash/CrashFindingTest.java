// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.fawndrum.coordination.crash.CrashFinding.Conclusion;
import org.fawndrum.coordination.crash.CrashFinding.Discount;
import org.fawndrum.state.HostIdentity;
import org.junit.jupiter.api.Test;

/** The findings about suspected requests that are not rejected. */
class CrashFindingTest {
  private static final long SENT_BEFORE_MS = 500;
  private static final TestContent DEADLY = new TestContent(1);
  private static final TestContent OTHER = new TestContent(2);

  private final CrashRegistry registry = new CrashRegistry(new HostIdentity("host-1", 1));
  private long nowMs = 1_000_000;

  private void crash(String endpoint, TestContent... requests) {
    for (TestContent request : requests) {
      registry.recordCrash(
          new HostIdentity(endpoint, 1), request.knownFingerprint(), nowMs - SENT_BEFORE_MS, nowMs);
    }
  }

  private void advance(long ms) {
    nowMs += ms;
    registry.decide(nowMs);
  }

  private CrashFinding onlyFinding() {
    List<CrashFinding> findings = registry.takeFindings();
    assertEquals(1, findings.size(), findings.toString());
    return findings.get(0);
  }

  @Test
  void reportsCrashesWithoutTheRequest() {
    crash("x-1", OTHER);
    advance(1_000);
    for (int i = 0; i < CrashRules.MIN_CRASHES; i++) {
      crash("e-" + i, DEADLY);
      advance(1_000);
    }
    CrashFinding finding = onlyFinding();
    assertEquals(Conclusion.UNRELATED_CRASHES, finding.conclusion());
    assertEquals(List.of(new HostIdentity("x-1", 1).toString()), finding.counterEvidence());
    assertEquals(CrashRules.MIN_CRASHES, finding.counted().size());
    advance(CrashRules.SETTLE_MS);
    assertTrue(registry.takeFindings().isEmpty(), "reported twice");
  }

  @Test
  void reportsHostsThatDoNotReport() {
    registry.allHostsReporting(false);
    for (int i = 0; i < CrashRules.MIN_CRASHES; i++) {
      crash("e-" + i, DEADLY);
      advance(1_000);
    }
    assertEquals(Conclusion.HOSTS_NOT_REPORTING, onlyFinding().conclusion());
  }

  @Test
  void reportsDiscountedCrashesWithTheirReasons() {
    for (int i = 0; i < CrashRules.MIN_CRASHES; i++) {
      crash("e-" + i, DEADLY);
      crash("f-" + i, new TestContent(10 + i));
      advance(1_000);
    }
    CrashFinding finding = registry.takeFindings().get(0);
    assertEquals(Conclusion.TOO_FEW_CRASHES, finding.conclusion());
    assertEquals(
        List.of(Discount.PART_OF_BURST, Discount.PART_OF_BURST, Discount.PART_OF_BURST),
        finding.discounted().stream().map(CrashFinding.DiscountedCrash::reason).toList());
    assertTrue(finding.text().contains("others crashed in the same burst"), finding.text());
  }

  @Test
  void reportsOtherRequestOnAllEndpoints() {
    for (int i = 0; i < CrashRules.MIN_CRASHES; i++) {
      crash("e-" + i, DEADLY, OTHER);
      advance(1_000);
    }
    for (CrashFinding finding : registry.takeFindings()) {
      assertEquals(Conclusion.OTHER_REQUEST_ON_ALL, finding.conclusion());
      assertEquals(1, finding.counterEvidence().size());
    }
  }
}
