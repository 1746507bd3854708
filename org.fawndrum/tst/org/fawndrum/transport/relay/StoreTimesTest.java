// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * A host whose leader has lost the store knew a configuration up to 3 s late: the age up to which
 * it relied on its leader followed from no bound of the configuration.
 */
class StoreTimesTest {
  /** What remains of a bound for the read itself, at the least, as a fraction. */
  private static final double FOR_READING = 0.3;

  /** What remains of a bound for the repetition of a read, at the least, as a fraction. */
  private static final double FOR_REPETITION = 0.15;

  /** How long a path may be intact before a host counts as in touch, in milliseconds. */
  private static final long CONTACT_MS = 3_000;

  /** What the sum of three rounded times may be off by, in milliseconds. */
  private static final long ROUNDED_MS = 2;

  /** What queries between two hosts take, in milliseconds. */
  private static final long QUERY_MS = 10;

  /** How much less than its wait a query confirms, in milliseconds. */
  private static final long WAIT_MARGIN_MS = 50;

  private static StoreTimes times(long revokeMs, long applyMs, long drainMs) {
    return new StoreTimes(
        new RelayBounds(true, revokeMs, applyMs, drainMs, 8_000, 0.2, 100, 10_000, 120));
  }

  @Property(tries = 500, seed = "66")
  void aHostReadsTheStoreItselfInTimeForEachBound(
      @ForAll @IntRange(min = 1_000, max = 60_000) int revokeMs,
      @ForAll @IntRange(min = 500, max = 60_000) int applyMs,
      @ForAll @IntRange(min = 500, max = 60_000) int drainMs) {
    StoreTimes times = times(revokeMs, applyMs, drainMs);
    double inTime = 1 - FOR_READING;
    assertTrue(times.configurationMaxAgeMs() <= applyMs * inTime + 1);
    assertTrue(times.configurationMaxAgeMs() <= revokeMs * inTime + 1);
    assertTrue(times.endpointsMaxAgeMs() <= drainMs * inTime + 1);
    assertTrue(times.configurationTiming().maxRetryMs() <= Math.min(applyMs, revokeMs));
    assertTrue(times.endpointsTiming().maxRetryMs() <= drainMs);
    assertTrue(times.configurationTiming().maxRetryMs() <= Math.min(applyMs, drainMs));
    assertTrue(times.endpointsTiming().maxRetryMs() <= Math.min(applyMs, drainMs));
  }

  /** A read over a dead connection was given up after 1.5 s, whatever the bound was. */
  @Property(tries = 500, seed = "69")
  void aReadWithoutAnAnswerIsRepeatedInTimeForEachBound(
      @ForAll @IntRange(min = 2_500, max = 60_000) int revokeMs,
      @ForAll @IntRange(min = 2_000, max = 60_000) int applyMs,
      @ForAll @IntRange(min = 2_000, max = 60_000) int drainMs) {
    StoreTimes times = times(revokeMs, applyMs, drainMs);
    TopicFollower.Timing configuration = times.configurationTiming();
    double inTime = 1 - FOR_REPETITION;
    assertTrue(
        times.configurationMaxAgeMs() + configuration.repeatMs() <= applyMs * inTime + ROUNDED_MS);
    TopicFollower.Timing endpoints = times.endpointsTiming();
    assertTrue(times.endpointsMaxAgeMs() + endpoints.repeatMs() <= drainMs * inTime + ROUNDED_MS);
    assertTrue(recoveryMs(configuration) <= Math.min(applyMs, CONTACT_MS) + ROUNDED_MS);
    assertTrue(recoveryMs(endpoints) <= Math.min(drainMs, CONTACT_MS) + ROUNDED_MS);
  }

  /** Returns how long after a path is intact again a host that reads the store may notice it. */
  private static long recoveryMs(TopicFollower.Timing timing) {
    return timing.repeatMs() + timing.answerMs() + timing.maxRetryMs();
  }

  /** Otherwise every host would read the store all the time. */
  @Property(tries = 500, seed = "67")
  void noHostReadsTheStoreItselfWhileItsLeaderDoes(
      @ForAll @IntRange(min = 2_000, max = 60_000) int revokeMs,
      @ForAll @IntRange(min = 1_500, max = 60_000) int applyMs,
      @ForAll @IntRange(min = 1_500, max = 60_000) int drainMs) {
    StoreTimes times = times(revokeMs, applyMs, drainMs);
    long leaderMs = times.configurationTiming().waitMs() + WAIT_MARGIN_MS;
    assertTrue(
        leaderMs + times.queryMs() + QUERY_MS <= times.configurationMaxAgeMs(),
        () -> leaderMs + " + " + times.queryMs() + " > " + times.configurationMaxAgeMs());
    assertTrue(times.endpointsTiming().pauseMs() + times.queryMs() < times.endpointsMaxAgeMs());
  }

  /**
   * Hosts without a processor sent each read of the store twice, and gave both up, because they
   * read the answers late; then they knew of no configuration in time and refused all callers.
   */
  @Property(tries = 100, seed = "75")
  void ownLatenessIsNoTimeOfTheStore(@ForAll @IntRange(min = 0, max = 20_000) int lateMs) {
    RelayBounds bounds = new RelayBounds(true, 5_000, 2_000, 2_000, 8_000, 0.2, 100, 10_000, 120);
    StoreTimes late = new StoreTimes(bounds, lateMs);
    StoreTimes inTime = new StoreTimes(bounds);
    for (boolean endpoints : new boolean[] {false, true}) {
      TopicFollower.Timing lateTiming =
          endpoints ? late.endpointsTiming() : late.configurationTiming();
      TopicFollower.Timing timing =
          endpoints ? inTime.endpointsTiming() : inTime.configurationTiming();
      assertEquals(timing.repeatMs() + lateMs, lateTiming.repeatMs());
      assertEquals(timing.answerMs() + lateMs, lateTiming.answerMs());
      assertEquals(timing.waitMs(), lateTiming.waitMs());
      assertEquals(timing.pauseMs(), lateTiming.pauseMs());
      assertEquals(timing.maxRetryMs(), lateTiming.maxRetryMs());
    }
    assertEquals(inTime.configurationPeersAgeMs() + lateMs, late.configurationPeersAgeMs());
    assertEquals(inTime.endpointsPeersAgeMs() + lateMs, late.endpointsPeersAgeMs());
    assertEquals(inTime.peersQueryMs() + lateMs, late.peersQueryMs());
    assertEquals(inTime.queryMs(), late.queryMs());
    assertEquals(inTime.configurationMaxAgeMs(), late.configurationMaxAgeMs());
    assertEquals(inTime.endpointsMaxAgeMs(), late.endpointsMaxAgeMs());
  }
}
