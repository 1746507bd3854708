// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.fawndrum.coordination.crash.CrashFinding.Discount;
import org.fawndrum.coordination.crash.CrashFinding.Standing;
import org.fawndrum.state.HostIdentity;
import org.junit.jupiter.api.Test;

/** What the ledger says of requests that are suspected and not turned away. */
class CrashFindingTest {
  private static final long TAKEN_BEFORE_MS = 500;
  private static final TestContent DEADLY = new TestContent(1);
  private static final TestContent OTHER = new TestContent(2);

  private final CrashLedger ledger = new CrashLedger(new HostIdentity("host-1", 1));
  private long nowMs = 1_000_000;

  private void crash(String endpoint, TestContent... under) {
    for (TestContent one : under) {
      ledger.crashed(new HostIdentity(endpoint, 1), one.print(), nowMs - TAKEN_BEFORE_MS, nowMs);
    }
  }

  private void pass(long ms) {
    nowMs += ms;
    ledger.decide(nowMs);
  }

  private CrashFinding onlyFinding() {
    List<CrashFinding> found = ledger.takeFindings();
    assertEquals(1, found.size(), found.toString());
    return found.get(0);
  }

  @Test
  void saysThatOthersEndedWithoutIt() {
    crash("x-1", OTHER);
    pass(1_000);
    for (int i = 0; i < CrashRules.ENOUGH; i++) {
      crash("e-" + i, DEADLY);
      pass(1_000);
    }
    CrashFinding finding = onlyFinding();
    assertEquals(Standing.OTHERS_ENDED, finding.standing());
    assertEquals(List.of(new HostIdentity("x-1", 1).toString()), finding.against());
    assertEquals(CrashRules.ENOUGH, finding.counted().size());
    pass(CrashRules.SETTLE_MS);
    assertTrue(ledger.takeFindings().isEmpty(), "said twice");
  }

  @Test
  void saysThatNotAllHostsAreHeard() {
    ledger.hearsAll(false);
    for (int i = 0; i < CrashRules.ENOUGH; i++) {
      crash("e-" + i, DEADLY);
      pass(1_000);
    }
    assertEquals(Standing.NOT_ALL_HEARD, onlyFinding().standing());
  }

  @Test
  void saysWhichEndsDoNotCountAndWhy() {
    for (int i = 0; i < CrashRules.ENOUGH; i++) {
      crash("e-" + i, DEADLY);
      crash("f-" + i, new TestContent(10 + i));
      pass(1_000);
    }
    CrashFinding finding = ledger.takeFindings().get(0);
    assertEquals(Standing.TOO_FEW, finding.standing());
    assertEquals(
        List.of(Discount.ONE_OF_SEVERAL, Discount.ONE_OF_SEVERAL, Discount.ONE_OF_SEVERAL),
        finding.discounted().stream().map(CrashFinding.Discounted::why).toList());
    assertTrue(finding.text().contains("others ended with it"), finding.text());
  }

  @Test
  void saysThatAnotherWasOnAllOfThem() {
    for (int i = 0; i < CrashRules.ENOUGH; i++) {
      crash("e-" + i, DEADLY, OTHER);
      pass(1_000);
    }
    for (CrashFinding finding : ledger.takeFindings()) {
      assertEquals(Standing.ANOTHER_ON_ALL, finding.standing());
      assertEquals(1, finding.against().size());
    }
  }
}
