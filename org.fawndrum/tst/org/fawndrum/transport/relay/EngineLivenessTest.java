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

/** An engine that is silent is probed, and taken for dead when it does not answer. */
class EngineLivenessTest {
  private static final HostAddress ENGINE = new HostAddress("127.0.0.1", 1);

  private static final long PROBE_MS = 500;
  private static final long LOOK_MS = 200;

  private final ManualClock clock = new ManualClock();
  private final Deque<Promise<Void>> probes = new ArrayDeque<>();
  private final List<Long> signs = new ArrayList<>();
  private int deaths;
  private final EngineLiveness liveness =
      new EngineLiveness(this::probe, clock, signs::add, why -> deaths++);

  /** Probes are answered by hand. */
  private Future<Void> probe() {
    Promise<Void> answer = Promise.promise();
    probes.addLast(answer);
    return answer.future();
  }

  private void lookAfter(long ms) {
    clock.advance(ms);
    liveness.probeIfSilent();
  }

  /** A probe that got no answer in its time; the engine is looked at again a moment later. */
  private void noAnswer() {
    clock.advance(PROBE_MS);
    probes.removeFirst().fail(new EndpointUnreachableException(ENGINE, null));
  }

  @Test
  void whatSpeaksIsNotProbed() {
    for (int i = 0; i < 10; i++) {
      lookAfter(EngineLiveness.PROBE_AFTER_MS - 1);
      liveness.recordActivity();
    }
    assertTrue(probes.isEmpty());
    assertEquals(10, signs.size());
  }

  @Test
  void aSilentEngineThatAnswersProbesIsAliveForAsLongAsItDoes() {
    for (int i = 0; i < 20; i++) {
      lookAfter(EngineLiveness.PROBE_AFTER_MS);
      probes.removeFirst().complete();
    }
    assertEquals(0, deaths);
    assertEquals(20, signs.size());
  }

  @Test
  void twoProbesWithoutAnAnswerAreADeathAndOnlyOne() {
    lookAfter(EngineLiveness.PROBE_AFTER_MS);
    noAnswer();
    assertEquals(0, deaths);
    lookAfter(LOOK_MS);
    noAnswer();
    assertEquals(1, deaths);
    assertTrue(liveness.silentMs() >= EngineLiveness.MIN_DEAD_AFTER_MS);
    lookAfter(EngineLiveness.PROBE_AFTER_MS);
    assertTrue(probes.isEmpty());
    assertEquals(1, deaths);
  }

  @Test
  void oneProbeIsEnoughWhereTheEngineShouldHaveSpoken() {
    clock.advance(EngineLiveness.PROBE_AFTER_MS);
    liveness.probeOverdue();
    probes.removeFirst().complete();
    assertEquals(0, deaths);
    clock.advance(EngineLiveness.PROBE_AFTER_MS);
    liveness.probeOverdue();
    noAnswer();
    assertEquals(1, deaths);
    assertTrue(liveness.silentMs() < EngineLiveness.MIN_DEAD_AFTER_MS);
  }

  @Test
  void oneLostAnswerIsForgivenEachTime() {
    for (int i = 0; i < 5; i++) {
      lookAfter(EngineLiveness.PROBE_AFTER_MS);
      noAnswer();
      lookAfter(LOOK_MS);
      probes.removeFirst().complete();
    }
    assertEquals(0, deaths);
  }

  @Test
  void probesThatFailWithinMillisecondsAreNoDeathBeforeItsTime() {
    clock.advance(EngineLiveness.PROBE_AFTER_MS);
    while (liveness.silentMs() < EngineLiveness.MIN_DEAD_AFTER_MS) {
      liveness.probeIfSilent();
      assertEquals(0, deaths, "dead after " + liveness.silentMs());
      probes.removeFirst().fail(new EndpointUnreachableException(ENGINE, null));
      clock.advance(LOOK_MS);
    }
  }

  @Test
  void memoryOfADeadEngineIsFreeWithinFourSeconds() {
    long unusedMs = 4_000;
    long releaseMs = 3 * 300;
    long reportAgeMs = 300;
    // The worst case: each look comes as late as it can, each probe fails as late as it can.
    lookAfter(EngineLiveness.PROBE_AFTER_MS - 1);
    lookAfter(LOOK_MS);
    while (deaths == 0) {
      noAnswer();
      if (deaths == 0) {
        lookAfter(LOOK_MS);
      }
    }
    assertTrue(
        liveness.silentMs() + releaseMs + reportAgeMs < unusedMs, "silent " + liveness.silentMs());
  }

  @Test
  void aSignCountsFromTheProbeAndNotFromItsAnswer() {
    lookAfter(EngineLiveness.PROBE_AFTER_MS);
    clock.advance(400);
    probes.removeFirst().complete();
    assertEquals(List.of(EngineLiveness.PROBE_AFTER_MS), signs);
    assertEquals(400, liveness.silentMs());
  }

  @Test
  void oneProbeAtATimeAndNoneAfterTheEnd() {
    lookAfter(EngineLiveness.PROBE_AFTER_MS);
    lookAfter(100);
    assertEquals(1, probes.size());
    liveness.stop();
    noAnswer();
    lookAfter(EngineLiveness.PROBE_AFTER_MS);
    assertTrue(probes.isEmpty());
    assertEquals(0, deaths);
  }
}
