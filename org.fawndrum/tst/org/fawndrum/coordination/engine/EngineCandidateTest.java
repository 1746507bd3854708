// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.fawndrum.coordination.EndpointState;
import org.fawndrum.coordination.TestEndpoints;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.EndpointKind;
import org.fawndrum.state.EngineProfile;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.LatencyTargets;
import org.junit.jupiter.api.Test;

/** The work of a prompt segment on an engine. */
class EngineCandidateTest {
  private static final EngineProfile PROFILE =
      new EngineProfile(11, 232_000, 43, 1.02, 0.0033, 0.0043, 206, 0.138, 2_048, 0.075);
  private static final HostIdentity ENGINE = new HostIdentity("e", 0);

  private final EndpointState state =
      TestEndpoints.state(
          new Endpoint(
              ENGINE,
              "zone-a",
              EndpointKind.MODEL,
              new HostAddress("127.0.0.1", 9_000),
              Set.of("pool"),
              PROFILE.memoryTokens(),
              Optional.of(PROFILE)));

  private EngineForecast.PrefillWork segmentOf(long promptTokens, int engines, long nowMs) {
    EngineForecast forecast = state.load().forecast(25_000, nowMs);
    return new EngineCandidate(state, forecast, 0, 0, 0).segment(promptTokens, engines);
  }

  @Test
  void unevenSharesAreRoundedUp() {
    assertEquals(10, segmentOf(10, 1, 0).tokens());
    assertEquals(4, segmentOf(10, 3, 0).tokens());
    assertEquals(3, segmentOf(9, 3, 0).tokens());
    assertEquals(1, segmentOf(1, 17, 0).tokens());
    assertEquals(0, segmentOf(0, 17, 0).tokens());
  }

  @Property(seed = "33", tries = 500)
  void segmentsAreMinimalAndCoverThePrompt(
      @ForAll @LongRange(min = 1, max = 2_000_000) long tokens,
      @ForAll @IntRange(min = 1, max = 17) int engines) {
    EngineForecast.PrefillWork segment = segmentOf(tokens, engines, 0);
    assertEquals(tokens / engines + (tokens % engines == 0 ? 0 : 1), segment.tokens());
    assertEquals(PROFILE.prefillMs(tokens) / engines, segment.ms());
  }

  @Test
  void segmentTimeIsProportionalToSlowness() {
    EngineJob job = new EngineJob(1, ENGINE, 20_000, 0, 1, true, LatencyTargets.NONE, 0);
    state.load().add(job, 0);
    state.load().recordFirstToken(1, 2_000);
    double expected = PROFILE.prefillMs(50_000) / 4 * state.load().slowness(2_000);
    assertEquals(expected, segmentOf(50_000, 4, 2_000).ms());
  }
}
