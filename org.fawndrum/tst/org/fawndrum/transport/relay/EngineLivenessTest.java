// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.fawndrum.errors.EndpointUnreachableException;
import org.fawndrum.state.HostAddress;
import org.junit.jupiter.api.Test;

/** A silent engine is probed, and considered dead when it does not answer. */
class EngineLivenessTest {
  private static final HostAddress ENGINE = new HostAddress("127.0.0.1", 1);

  private static final long PROBE_TIMEOUT_MS = 500;
  private static final long POLL_MS = 200;

  private final ManualClock clock = new ManualClock();
  private final Deque<Promise<Void>> probes = new ArrayDeque<>();
  private final List<Long> signsOfLife = new ArrayList<>();
  private int deaths;
  private final EngineLiveness liveness =
      new EngineLiveness(this::probe, clock, signsOfLife::add, why -> deaths++);

  /** The test completes the probes. */
  private Future<Void> probe() {
    Promise<Void> answer = Promise.promise();
    probes.addLast(answer);
    return answer.future();
  }

  private void pollAfter(long ms) {
    clock.advance(ms);
    liveness.probeIfSilent();
  }

  /** A probe times out; the engine is checked again a moment later. */
  private void failProbe() {
    clock.advance(PROBE_TIMEOUT_MS);
    probes.removeFirst().fail(new EndpointUnreachableException(ENGINE, null));
  }

  @Test
  void activeEngineIsNotProbed() {
    for (int i = 0; i < 10; i++) {
      pollAfter(EngineLiveness.PROBE_AFTER_MS - 1);
      liveness.recordActivity();
    }
    assertTrue(probes.isEmpty());
    assertEquals(10, signsOfLife.size());
  }

  @Test
  void silentEngineIsAliveWhileItAnswersProbes() {
    for (int i = 0; i < 20; i++) {
      pollAfter(EngineLiveness.PROBE_AFTER_MS);
      probes.removeFirst().complete();
    }
    assertEquals(0, deaths);
    assertEquals(20, signsOfLife.size());
  }

  @Test
  void twoUnansweredProbesReportDeathOnce() {
    pollAfter(EngineLiveness.PROBE_AFTER_MS);
    failProbe();
    assertEquals(0, deaths);
    pollAfter(POLL_MS);
    failProbe();
    assertEquals(1, deaths);
    assertTrue(liveness.silentMs() >= EngineLiveness.MIN_DEAD_AFTER_MS);
    pollAfter(EngineLiveness.PROBE_AFTER_MS);
    assertTrue(probes.isEmpty());
    assertEquals(1, deaths);
  }

  @Test
  void oneUnansweredProbeSufficesWhenAnEventIsOverdue() {
    clock.advance(EngineLiveness.PROBE_AFTER_MS);
    liveness.probeOverdue();
    probes.removeFirst().complete();
    assertEquals(0, deaths);
    clock.advance(EngineLiveness.PROBE_AFTER_MS);
    liveness.probeOverdue();
    failProbe();
    assertEquals(1, deaths);
    assertTrue(liveness.silentMs() < EngineLiveness.MIN_DEAD_AFTER_MS);
  }

  @Test
  void singleUnansweredProbesAreTolerated() {
    for (int i = 0; i < 5; i++) {
      pollAfter(EngineLiveness.PROBE_AFTER_MS);
      failProbe();
      pollAfter(POLL_MS);
      probes.removeFirst().complete();
    }
    assertEquals(0, deaths);
  }

  @Test
  void probesThatFailAtOnceDoNotShortenTheMinimumSilence() {
    clock.advance(EngineLiveness.PROBE_AFTER_MS);
    while (liveness.silentMs() < EngineLiveness.MIN_DEAD_AFTER_MS) {
      liveness.probeIfSilent();
      assertEquals(0, deaths, "dead after " + liveness.silentMs());
      probes.removeFirst().fail(new EndpointUnreachableException(ENGINE, null));
      clock.advance(POLL_MS);
    }
  }

  @Test
  void memoryOfADeadEngineIsReleasedWithinFourSeconds() {
    long unusedMs = 4_000;
    long releaseMs = 3 * 300;
    long reportAgeMs = 300;
    // The worst case: each check comes as late as possible, and each probe fails as late as
    // possible.
    pollAfter(EngineLiveness.PROBE_AFTER_MS - 1);
    pollAfter(POLL_MS);
    while (deaths == 0) {
      failProbe();
      if (deaths == 0) {
        pollAfter(POLL_MS);
      }
    }
    assertTrue(
        liveness.silentMs() + releaseMs + reportAgeMs < unusedMs, "silent " + liveness.silentMs());
  }

  @Test
  void signOfLifeCountsFromTheProbeNotFromItsAnswer() {
    pollAfter(EngineLiveness.PROBE_AFTER_MS);
    clock.advance(400);
    probes.removeFirst().complete();
    assertEquals(List.of(EngineLiveness.PROBE_AFTER_MS), signsOfLife);
    assertEquals(400, liveness.silentMs());
  }

  @Test
  void oneProbeAtATimeAndNoneAfterStop() {
    pollAfter(EngineLiveness.PROBE_AFTER_MS);
    pollAfter(100);
    assertEquals(1, probes.size());
    liveness.stop();
    failProbe();
    pollAfter(EngineLiveness.PROBE_AFTER_MS);
    assertTrue(probes.isEmpty());
    assertEquals(0, deaths);
  }
}
