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
import org.fawndrum.state.RequestAims;
import org.junit.jupiter.api.Test;

/** What a part of a prompt is for an engine. */
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

  private EngineOutlook.Amount part(long promptTokens, int engines, long nowMs) {
    EngineOutlook outlook = state.load().outlook(25_000, nowMs);
    return new EngineCandidate(state, outlook, 0, 0, 0).partOf(promptTokens, engines);
  }

  @Test
  void tokensThatDoNotDivideEvenlyAreRoundedUp() {
    assertEquals(10, part(10, 1, 0).tokens());
    assertEquals(4, part(10, 3, 0).tokens());
    assertEquals(3, part(9, 3, 0).tokens());
    assertEquals(1, part(1, 17, 0).tokens());
    assertEquals(0, part(0, 17, 0).tokens());
  }

  @Property(seed = "33", tries = 500)
  void aPartIsTheSmallestOfWhichAllTogetherHoldThePrompt(
      @ForAll @LongRange(min = 1, max = 2_000_000) long tokens,
      @ForAll @IntRange(min = 1, max = 17) int engines) {
    EngineOutlook.Amount part = part(tokens, engines, 0);
    assertEquals(tokens / engines + (tokens % engines == 0 ? 0 : 1), part.tokens());
    assertEquals(PROFILE.readMs(tokens) / engines, part.ms());
  }

  @Test
  void aSlowEngineTakesLongerForThePartByAsMuchAsItIsSlower() {
    EngineJob job = new EngineJob(1, ENGINE, 20_000, 0, 1, true, RequestAims.NONE, 0);
    state.load().add(job, 0);
    state.load().read(1, 2_000);
    double expected = PROFILE.readMs(50_000) / 4 * state.load().slowness(2_000);
    assertEquals(expected, part(50_000, 4, 2_000).ms());
  }
}
