// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.fawndrum.state.EngineProfile;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.LatencyTargets;
import org.junit.jupiter.api.Test;

/** The forecasts of one engine's model, and that completed jobs leave nothing in it. */
class EngineLoadTest {
  private static final EngineProfile PROFILE =
      new EngineProfile(11, 232_000, 43, 1.02, 0.0033, 0.0043, 206, 0.138, 2_048, 0.075);
  private static final HostIdentity ENGINE = new HostIdentity("e", 0);
  private static final LatencyTargets TARGETS = new LatencyTargets(300, 250, 2);
  private static final long LONG_TOKENS = 25_000;

  /** The decode steps of an iteration with one stream, rounded up, in milliseconds. */
  private static final long STEPS_MS = 46;

  private final EngineLoad load = new EngineLoad(PROFILE);

  private static EngineJob job(long id, long tokens, int segments, long sentMs) {
    return new EngineJob(id, ENGINE, tokens, tokens + 100, segments, true, TARGETS, sentMs);
  }

  private static EngineJob helperJob(long id, long tokens, int segments, long sentMs) {
    return new EngineJob(id, ENGINE, tokens, 0, segments, false, TARGETS, sentMs);
  }

  private static EngineForecast.PrefillWork segment(long promptTokens, int segments) {
    return new EngineForecast.PrefillWork(
        PROFILE.prefillMs(promptTokens) / segments, promptTokens / segments);
  }

  private EngineForecast forecast(long nowMs) {
    return load.forecast(LONG_TOKENS, nowMs);
  }

  /** Each number is a step: its remainder modulo three selects the event, the quotient the job. */
  @Property(seed = "99", tries = 300)
  void nothingRemainsAfterAnyOrderOfEvents(
      @ForAll @Size(max = 60) List<@IntRange(min = 0, max = 29) Integer> steps) {
    EngineLoad tested = new EngineLoad(PROFILE);
    List<Long> ids = new ArrayList<>();
    long nowMs = 0;
    for (int step : steps) {
      nowMs += 7;
      long id = step / 3;
      switch (step % 3) {
        case 0 -> {
          tested.add(job(id, 1_000 * (id + 1), 1 + (int) (id % 3), nowMs), nowMs);
          ids.add(id);
        }
        case 1 -> tested.recordFirstToken(id, nowMs);
        default -> tested.remove(id, nowMs);
      }
      EngineForecast forecast = tested.forecast(LONG_TOKENS, nowMs);
      assertTrue(forecast.iterationRemainingMs() >= 0 && forecast.waiting().ms() >= 0);
      assertTrue(forecast.singleEngineMs(segment(1_000, 1)) > 0 && forecast.sharedMs() >= 0);
      assertTrue(tested.slowness(nowMs) >= 1);
    }
    for (long id : ids) {
      tested.remove(id, nowMs);
    }
    assertEquals(0, tested.jobCount());
    assertEquals(0, tested.memoryTokens());
    assertEquals(0, tested.forecast(LONG_TOKENS, nowMs).waiting().ms());
    assertEquals(0, tested.forecast(LONG_TOKENS, nowMs + 60_000).iterationRemainingMs());
  }

  @Test
  void idleEnginePrefillsAtOnceAndDecodesAtTheEndOfTheIteration() {
    load.add(job(1, 50_000, 1, 0), 0);
    double wholeMs = PROFILE.prefillMs(50_000) + PROFILE.iterationMs(1, 50_000);
    assertEquals(wholeMs, forecast(0).iterationRemainingMs(), 0.001);
    assertEquals(forecast(0).iterationRemainingMs() - 100, forecast(100).iterationRemainingMs(), 1);
  }

  @Test
  void jobSentDuringAnIterationWaitsForTheNextOne() {
    load.add(job(1, 50_000, 1, 0), 0);
    double remainingMs = forecast(50).iterationRemainingMs();
    load.add(job(2, 20_000, 1, 50), 50);
    assertEquals(remainingMs, forecast(50).iterationRemainingMs(), 0.001);
    assertEquals(PROFILE.prefillMs(20_000), forecast(50).waiting().ms(), 0.001);
  }

  @Test
  void jobSentBeforeTheIterationBeganIsPartOfItDespiteALateReport() {
    load.add(job(1, 50_000, 1, 30), 30);
    double remainingMs = forecast(50).iterationRemainingMs();
    load.add(job(2, 20_000, 1, 20), 50);
    assertEquals(remainingMs + PROFILE.prefillMs(20_000), forecast(50).iterationRemainingMs(), 2);
  }

  @Test
  void streamsPauseDuringPrefill() {
    load.add(job(1, 5_000, 1, 0), 0);
    load.recordFirstToken(1, 70);
    double idlePauseMs = forecast(80).pauseMs();
    EngineForecast.PrefillWork segment = segment(50_000, 1);
    assertEquals(idlePauseMs + segment.ms(), forecast(80).pauseMs(segment), 0.001);
    load.add(job(2, 50_000, 1, 80), 80);
    load.add(job(3, 50_000, 1, 80), 80);
    // The next iteration prefills them, so the first stream has paused for too long.
    assertFalse(forecast(200).unpausedStreams().stream().anyMatch(job -> job.id() == 1));
  }

  @Test
  void prefillPerIterationIsBoundedWhileStreamsDecode() {
    load.add(job(1, 5_000, 1, 0), 0);
    load.recordFirstToken(1, 70);
    EngineForecast.PrefillWork segment = segment(200_000, 1);
    double pauseMs = forecast(80).pauseMs(segment);
    assertTrue(pauseMs < segment.ms() / 2 + STEPS_MS, pauseMs + " of " + segment.ms());
  }

  @Test
  void segmentsGoBeforeUnsharedPromptsNewestFirst() {
    EngineIterations iterations = new EngineIterations(PROFILE);
    iterations.add(job(1, 5_000, 1, 0), 0);
    iterations.advance(100);
    iterations.add(job(2, 20_000, 1, 101), 101);
    iterations.add(helperJob(3, 60_000, 3, 102), 102);
    iterations.add(helperJob(4, 60_000, 3, 103), 103);
    List<Long> order = iterations.waiting().stream().map(entry -> entry.job.id()).toList();
    assertEquals(List.of(4L, 3L, 2L), order);
  }

  @Test
  void newSegmentPreemptsPrefillWhileNothingDecodes() {
    load.add(helperJob(1, 200_000, 2, 0), 0);
    double wholeMs = forecast(0).sharedMs();
    load.add(helperJob(2, 40_000, 2, 500), 500);
    double segmentMs = PROFILE.prefillMs(40_000) / 2;
    assertEquals(segmentMs, forecast(500).iterationRemainingMs(), 1);
    assertEquals(wholeMs - 500 + segmentMs, forecast(500).sharedMs(), 1);
    assertEquals(
        segmentMs,
        forecast(500).sharedMs(segment(40_000, 2)) - forecast(500).decodeStepsMs(),
        0.001);
  }

  @Test
  void newSegmentWaitsForTheEndOfTheIterationWhileAStreamDecodes() {
    load.add(job(1, 5_000, 1, 0), 0);
    load.recordFirstToken(1, 70);
    load.add(helperJob(2, 100_000, 2, 80), 80);
    EngineForecast busy = forecast(200);
    assertFalse(busy.preemptible());
    assertTrue(busy.sharedMs(segment(10_000, 2)) > busy.iterationRemainingMs());
  }

  @Test
  void segmentCountsAsPrefilledAfterItsTimeWithoutAReport() {
    load.add(helperJob(1, 100_000, 4, 0), 0);
    assertEquals(1, forecast(10).helperSegments());
    EngineForecast later = forecast(5_000);
    assertEquals(0, later.helperSegments());
    assertEquals(0, later.iterationRemainingMs() + later.waiting().ms() + later.overdueMs());
  }

  @Test
  void earlyFirstTokenEndsTheIteration() {
    load.add(job(1, 100_000, 1, 0), 0);
    load.add(job(2, 5_000, 1, 10), 10);
    load.recordFirstToken(1, 200);
    assertEquals(0, forecast(200).waiting().ms());
    assertTrue(forecast(200).iterationRemainingMs() < 2 * STEPS_MS);
  }

  @Test
  void iterationThatEndsEarlyHasNotPrefilledItsOtherSegments() {
    load.add(job(1, 5_000, 1, 0), 0);
    load.recordFirstToken(1, 70);
    load.add(job(2, 5_000, 1, 71), 71);
    load.add(helperJob(3, 200_000, 4, 72), 72);
    double wholeMs = forecast(72).sharedMs();
    // Both are scheduled in the next iteration; the first token of one shows that the other was not
    // part of it.
    load.recordFirstToken(2, 200);
    assertTrue(forecast(200).sharedMs() > wholeMs / 2, forecast(200) + " of " + wholeMs);
  }

  @Test
  void overdueEngineStaysOverdue() {
    load.add(job(1, 20_000, 1, 0), 0);
    assertTrue(forecast(60_000).overdueMs() > 50_000);
  }

  @Test
  void observedSlownessDecays() {
    load.add(job(1, 20_000, 1, 0), 0);
    load.recordFirstToken(1, 2_000);
    double slow = load.slowness(2_000);
    assertTrue(slow > 2, "slowness " + slow);
    assertTrue(load.slowness(30_000) < 1.1);
  }

  /** Operators may leave figures out; the simulation must still reach the present. */
  @Test
  void engineWithoutStepFiguresStillHasIterations() {
    EngineLoad incomplete =
        new EngineLoad(new EngineProfile(11, 232_000, 0, 0, 0, 0, 206, 0, 0, 0));
    incomplete.add(job(1, 1_000, 1, 0), 0);
    incomplete.recordFirstToken(1, 10);
    incomplete.add(job(2, 1_000, 1, 20), 20);
    assertEquals(2, incomplete.forecast(LONG_TOKENS, 1_000).streams());
  }

  @Test
  void plainServiceJobsAreOnlyCounted() {
    EngineLoad plain = new EngineLoad(null);
    plain.add(new EngineJob(1, ENGINE, 0, 0, 1, true, TARGETS, 0), 0);
    plain.recordFirstToken(1, 10);
    assertEquals(1, plain.jobCount());
    plain.remove(1, 20);
    assertEquals(0, plain.jobCount());
  }
}
