// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fawndrum.coordination.EndpointRestrictions;
import org.fawndrum.coordination.limit.EndpointRateLimits.Statement;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.EndpointKind;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.ServiceProfile;
import org.junit.jupiter.api.Test;

/**
 * Verifies from which sources an endpoint counts as starting, which one goes first, and until when:
 * an engine that has just started falls over at a rate that the others bear.
 */
class StartingEndpointsTest {
  private static final double RATE = 17;
  private static final long START_MS = 3_000;
  private static final long SLACK_MS = StartingEndpoints.TOLERANCE_MS;
  private static final Endpoint ENGINE = endpoint("e-1", "pool");
  private static final Endpoint PLAIN = endpoint("p-1", "orders");

  private final EndpointRestrictions restrictions = new EndpointRestrictions();
  private final StartingEndpoints starts = restrictions.starts();

  StartingEndpointsTest() {
    starts.updateServices(
        List.of(
            new ServiceProfile("pool", 100, Optional.empty(), START_MS, RATE),
            new ServiceProfile("orders", 100, Optional.empty(), START_MS, 0)));
  }

  private static Endpoint endpoint(String name, String service) {
    return new Endpoint(
        new HostIdentity(name, 1),
        "zone-a",
        EndpointKind.PLAIN,
        new HostAddress("127.0.0.1", 9_000),
        Set.of(service),
        0);
  }

  private boolean isStarting(long nowMs) {
    return starts.isLimited(ENGINE.name(), nowMs);
  }

  /** The last time at which the engine counts as starting, up to which it did all the time. */
  private long lastMs() {
    long nowMs = 0;
    while (isStarting(nowMs + 10)) {
      nowMs += 10;
    }
    return nowMs;
  }

  @Test
  void anEndpointThatSaysNothingIsNotLimitedWhenThisHostStarts() {
    assertFalse(starts.reported(ENGINE, 0, 0));
    assertFalse(isStarting(0));
    assertFalse(starts.isAnyKnown(), "kept for each endpoint");
  }

  @Test
  void theEntryCountsFromWhenItWasRead() {
    assertTrue(starts.reported(ENGINE, 1_500, 0));
    assertEquals(RATE, starts.perSecond(ENGINE.name(), 1_500));
    assertEquals(List.of("e-1"), starts.limited(1_500));
    assertEquals(1_500 + SLACK_MS, starts.endMs(ENGINE.name(), 0));
    assertFalse(isStarting(1_500 + SLACK_MS));
    assertEquals(List.of("e-1"), starts.takeEnded(1_500 + SLACK_MS));
    assertFalse(starts.isAnyKnown());
  }

  @Test
  void aShorterRestIsNoChangeAndAnotherStartIs() {
    assertTrue(starts.reported(ENGINE, 3_000, 0));
    assertFalse(starts.reported(ENGINE, 1_800, 1_200 + SLACK_MS), "82 hosts ask for each beat");
    assertFalse(starts.reported(ENGINE, 600, 2_400));
    assertTrue(starts.reported(ENGINE, 2_900, 3_000), "it starts again before the end");
    assertFalse(starts.reported(ENGINE, 0, 4_200));
    assertFalse(isStarting(4_200));
    assertTrue(starts.reported(ENGINE, 2_000, 9_000), "it starts again later");
  }

  @Test
  void whoHearsOnlyOfChangesLimitsAsLongAsTheEndpointStarts() {
    StartingEndpoints follower = new EndpointRestrictions().starts();
    follower.updateServices(List.of(new ServiceProfile("pool", 1, Optional.empty(), 1, RATE)));
    long endMs = 0;
    long remainingMs = 500;
    for (long nowMs = 0; nowMs < 20_000; nowMs += 100) {
      remainingMs += nowMs % 700 == 0 ? 150 : 0;
      if (starts.reported(ENGINE, remainingMs, nowMs)) {
        follower.reported(ENGINE, remainingMs, nowMs);
      }
      endMs = nowMs + remainingMs;
      assertTrue(remainingMs == 0 || follower.isLimited("e-1", endMs - 1), "at " + nowMs);
      remainingMs = Math.max(0, remainingMs - 100);
    }
  }

  @Test
  void aRestartThatIsDiscoveredCountsForTheStatedTimeWhateverAnOldEntrySays() {
    starts.restarted(ENGINE, 0);
    assertFalse(starts.reported(ENGINE, 0, 100));
    assertEquals(START_MS - 10, lastMs());
    starts.reported(ENGINE, 4_000, 200);
    assertEquals(4_200 + SLACK_MS - 10, lastMs());
  }

  @Test
  void allEndpointsOfAZoneThatIsTakenBackStart() {
    Endpoint second = endpoint("e-2", "pool");
    starts.zoneTakenBack(List.of(ENGINE, second, PLAIN), 0);
    assertEquals(Set.of("e-1", "e-2"), Set.copyOf(starts.limited(START_MS - 1)));
    assertEquals(List.of(), starts.limited(START_MS));
  }

  @Test
  void anAnswerExtendsAndALateOneDoesNotShorten() {
    starts.reported(ENGINE, 3_000, 0);
    starts.answered(ENGINE, 100, 1_000);
    assertEquals(3_000 + SLACK_MS - 10, lastMs());
    starts.answered(ENGINE, 3_000, 1_000);
    assertEquals(4_000 + SLACK_MS - 10, lastMs());
  }

  @Test
  void servicesWithoutARateAreNotLimited() {
    starts.reported(PLAIN, 3_000, 0);
    starts.restarted(PLAIN, 0);
    assertFalse(starts.isLimited(PLAIN.name(), 0));
    starts.reported(ENGINE, 3_000, 0);
    starts.updateServices(List.of());
    assertFalse(isStarting(0), "the operators withdrew the rate");
  }

  @Test
  void theLowerOfTwoRatesCountsAndTheLaterEnd() {
    starts.reported(ENGINE, 1_000, 0);
    restrictions.rateLimits().answered(new Statement("e-1", 5, 0, 0));
    EndpointRates rates = restrictions.rates();
    assertEquals(5, rates.perSecond("e-1", 500));
    assertEquals(List.of("e-1"), rates.limited(500));
    assertEquals(EndpointRates.UNKNOWN_END_MS, rates.endMs("e-1", 500));
    assertEquals(5, rates.perSecond("e-1", 5_000));
    restrictions.rateLimits().answered(new Statement("e-1", 50, 10, 20));
    assertEquals(RATE, rates.perSecond("e-1", 500));
    assertEquals(50, rates.perSecond("e-1", 5_000));
  }

  @Test
  void aFalseAnswerLimitsAnEndpointNoLongerThanAStart() {
    starts.answered(ENGINE, 600_000, 0);
    assertTrue(isStarting(START_MS));
    assertFalse(isStarting(START_MS + SLACK_MS));
  }

  @Test
  void hostsHearOfAStartAfterAnEndOfWhichTheyHeard() {
    assertTrue(starts.reported(ENGINE, 3_000, 0));
    assertFalse(starts.reported(ENGINE, 0, 500));
    assertTrue(starts.reported(ENGINE, 1_000, 1_000), "they would send without permits");
  }

  @Test
  void hostsNeedNotHearOfAStartForWhichOperatorsStateNoRate() {
    assertFalse(starts.reported(PLAIN, 3_000, 0));
  }
}
