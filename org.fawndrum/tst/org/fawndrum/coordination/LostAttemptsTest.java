// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.List;
import java.util.Set;
import org.fawndrum.coordination.crash.CrashRegistry;
import org.fawndrum.coordination.crash.CrashVerdict;
import org.fawndrum.coordination.crash.EndpointCrash;
import org.fawndrum.coordination.crash.RequestFingerprint;
import org.fawndrum.state.HostIdentity;
import org.junit.jupiter.api.Test;

/**
 * A broken connection is evidence of a crash only as far as other evidence proves it.
 *
 * <p>Guards against this failure: an engine lost the connection of an answer, and crashed a second
 * later under another request. When its next incarnation was discovered, the lost answer counted as
 * a crash of its own without the other request, so that six crashes instead of three were needed to
 * reject that request.
 */
class LostAttemptsTest {
  private static final HostIdentity ENGINE = new HostIdentity("e-1", 1_000);
  private static final long LATER_MS = 800;
  private static final long RUN_MS = 50;

  private final LostAttempts lostAttempts = new LostAttempts();
  private final CrashRegistry registry = new CrashRegistry(new HostIdentity("host-1", 1));
  private long nowMs = 1_000_000;

  private static final NumberedContent DEADLY = new NumberedContent(1);
  private static final NumberedContent OTHER = new NumberedContent(2);

  private void loseConnection(NumberedContent request) {
    lostAttempts.add(new LostAttempts.LostAttempt(request, ENGINE, nowMs - RUN_MS, nowMs, false));
  }

  private void advance(long ms) {
    nowMs += ms;
    registry.decide(nowMs);
  }

  private void crash(HostIdentity endpoint) {
    Set<RequestFingerprint> requests = Set.of(DEADLY.computeFingerprint());
    registry.recordCrash(new EndpointCrash(endpoint, nowMs - RUN_MS, nowMs, requests), nowMs);
  }

  private void incarnationSuperseded() {
    lostAttempts
        .takeSuperseded(ENGINE::equals, nowMs)
        .forEach(attempt -> registry.recordIncarnationEnd(attempt.asCrash().orElseThrow()));
  }

  @Test
  void connectionBrokenShortlyBeforeATerminationIsAttributedToIt() {
    loseConnection(OTHER);
    advance(LATER_MS);
    List<LostAttempts.LostAttempt> terminated = lostAttempts.takeTerminatedWith(ENGINE, nowMs);
    assertEquals(List.of(nowMs), terminated.stream().map(LostAttempts.LostAttempt::atMs).toList());
  }

  @Test
  void provedTerminationOfAnIncarnationIsCountedOnce() {
    loseConnection(OTHER);
    advance(3_000);
    crash(ENGINE);
    incarnationSuperseded();
    for (int i = 0; i < 2; i++) {
      advance(LATER_MS);
      crash(new HostIdentity("f-" + i, 1));
    }
    advance(LATER_MS);
    assertEquals(CrashVerdict.REJECTED, registry.verdict(DEADLY, nowMs));
  }

  @Test
  void onlyTheLastUnprovedConnectionLossCanBeTheTermination() {
    loseConnection(OTHER);
    advance(LATER_MS);
    loseConnection(DEADLY);
    incarnationSuperseded();
    assertEquals(1, registry.fullUpdate().crashes().size());
    assertEquals(nowMs, registry.fullUpdate().crashes().get(0).atMs());
  }

  @Test
  void unprovedLossCountsWhenTheNextIncarnationIsDiscovered() {
    for (int i = 0; i < 3; i++) {
      HostIdentity engine = new HostIdentity("e-" + i, 1);
      lostAttempts.add(new LostAttempts.LostAttempt(DEADLY, engine, nowMs - RUN_MS, nowMs, false));
      advance(LATER_MS);
      assertNotEquals(CrashVerdict.REJECTED, registry.verdict(DEADLY, nowMs));
      lostAttempts
          .takeSuperseded(engine::equals, nowMs)
          .forEach(attempt -> registry.recordIncarnationEnd(attempt.asCrash().orElseThrow()));
      advance(LATER_MS);
    }
    assertEquals(CrashVerdict.REJECTED, registry.verdict(DEADLY, nowMs));
  }
}
