// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.List;
import org.fawndrum.coordination.crash.CrashLedger;
import org.fawndrum.coordination.crash.CrashVerdict;
import org.fawndrum.state.HostIdentity;
import org.junit.jupiter.api.Test;

/**
 * A connection that broke says of its endpoint what others prove, and no more.
 *
 * <p>Seen: an engine that lived lost an answer and ended a second later under another request. When
 * its next start was known, the lost answer counted as an end of its own, without that request, so
 * that six ends were needed in place of three to turn that one away.
 */
class LostAttemptsTest {
  private static final HostIdentity ENGINE = new HostIdentity("e-1", 1_000);
  private static final long LATER_MS = 800;
  private static final long RUN_MS = 50;

  private final LostAttempts lost = new LostAttempts();
  private final CrashLedger ledger = new CrashLedger(new HostIdentity("host-1", 1));
  private long nowMs = 1_000_000;

  private static final NumberedContent DEADLY = new NumberedContent(1);
  private static final NumberedContent OTHER = new NumberedContent(2);

  private void loses(NumberedContent request) {
    lost.add(new LostAttempts.LostAttempt(request, ENGINE, nowMs - RUN_MS, nowMs));
  }

  private void pass(long ms) {
    nowMs += ms;
    ledger.decide(nowMs);
  }

  private void crash(HostIdentity endpoint) {
    ledger.crashed(endpoint, DEADLY.print(), nowMs - RUN_MS, nowMs);
  }

  private void startIsOver() {
    lost.takeSuperseded(ENGINE::equals, nowMs)
        .forEach(
            one ->
                ledger.startIsOver(
                    one.endpoint(),
                    one.content().fingerprint().orElseThrow(),
                    one.sentMs(),
                    one.atMs()));
  }

  @Test
  void whatBrokeShortlyBeforeAnEndIsPutToThatEnd() {
    loses(OTHER);
    pass(LATER_MS);
    List<LostAttempts.LostAttempt> with = lost.takeTerminatedWith(ENGINE, nowMs);
    assertEquals(List.of(nowMs), with.stream().map(LostAttempts.LostAttempt::atMs).toList());
  }

  @Test
  void aStartWhoseEndIsProvedHasNoOther() {
    loses(OTHER);
    pass(3_000);
    crash(ENGINE);
    startIsOver();
    for (int i = 0; i < 2; i++) {
      pass(LATER_MS);
      crash(new HostIdentity("f-" + i, 1));
    }
    pass(LATER_MS);
    assertEquals(CrashVerdict.REFUSED, ledger.verdict(DEADLY, nowMs));
  }

  @Test
  void ofWhatBrokeWithoutProofOnlyTheLastCanBeTheEnd() {
    loses(OTHER);
    pass(LATER_MS);
    loses(DEADLY);
    startIsOver();
    assertEquals(1, ledger.all().crashes().size());
    assertEquals(nowMs, ledger.all().crashes().get(0).atMs());
  }

  @Test
  void withoutAnyProofItCountsWhenTheNextStartIsKnown() {
    for (int i = 0; i < 3; i++) {
      HostIdentity engine = new HostIdentity("e-" + i, 1);
      lost.add(new LostAttempts.LostAttempt(DEADLY, engine, nowMs - RUN_MS, nowMs));
      pass(LATER_MS);
      assertNotEquals(CrashVerdict.REFUSED, ledger.verdict(DEADLY, nowMs));
      lost.takeSuperseded(engine::equals, nowMs)
          .forEach(
              one -> ledger.startIsOver(one.endpoint(), DEADLY.print(), one.sentMs(), one.atMs()));
      pass(LATER_MS);
    }
    assertEquals(CrashVerdict.REFUSED, ledger.verdict(DEADLY, nowMs));
  }
}
