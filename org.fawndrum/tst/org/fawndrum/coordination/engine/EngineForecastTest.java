// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.statistics.Statistics;
import org.fawndrum.state.EngineProfile;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.LatencyTargets;

/**
 * Compares every field of a forecast with its formula, computed from a simulation beside the load.
 */
class EngineForecastTest {
  private static final EngineProfile PROFILE =
      new EngineProfile(11, 232_000, 43, 1.02, 0.0033, 0.0043, 206, 0.138, 2_048, 0.075);
  private static final HostIdentity ENGINE = new HostIdentity("e", 0);
  private static final long[] PROMPTS = {300, 5_000, 24_999, 25_000, 120_001};
  private static final long LONG_TOKENS = 25_000;
  private static final int STEPS = 40;
  private static final int JOBS = 12;

  private final EngineLoad load = new EngineLoad(PROFILE);
  private final EngineIterations iterations = new EngineIterations(PROFILE);

  @Property(seed = "32", tries = 500)
  void everyFieldMatchesItsFormula(@ForAll Random random) {
    long nowMs = 0;
    for (int i = 0; i < STEPS; i++) {
      nowMs += random.nextInt(120);
      long id = random.nextInt(JOBS);
      switch (random.nextInt(4)) {
        case 0, 1 -> add(job(id, random, nowMs), nowMs);
        case 2 -> recordFirstToken(id, nowMs);
        default -> remove(id, nowMs);
      }
      EngineForecast expected = expectedForecast(nowMs);
      assertEquals(expected, load.forecast(LONG_TOKENS, nowMs));
      collect(expected);
    }
  }

  private static void collect(EngineForecast forecast) {
    cover("unread", !forecast.pendingPrefills().isEmpty());
    cover(
        "in the iteration",
        forecast.pendingPrefills().stream().anyMatch(EngineForecast.PendingPrefill::inIteration));
    cover("writing", !forecast.unpausedStreams().isEmpty());
    cover("overdue", forecast.overdueMs() > 0);
    cover("shared", forecast.sharedMs() > 0);
    cover("helping", forecast.helperSegments() > 0);
    cover("slow", forecast.slowness() > 1);
    cover(
        "paused",
        forecast.unpausedStreams().size() < forecast.streams() - forecast.pendingPrefills().size());
  }

  private static void cover(String label, boolean covered) {
    Statistics.label(label)
        .collect(covered)
        .coverage(all -> all.check(true).percentage(part -> part > 1));
  }

  private static EngineJob job(long id, Random random, long nowMs) {
    int segments = random.nextInt(3) == 0 ? 2 + random.nextInt(4) : 1;
    boolean decodes = segments == 1 || random.nextBoolean();
    long prompt = PROMPTS[random.nextInt(PROMPTS.length)];
    LatencyTargets targets = new LatencyTargets(300, random.nextBoolean() ? 250 : 0, 2);
    long sentMs = Math.max(0, nowMs - random.nextInt(30));
    return new EngineJob(id, ENGINE, prompt, prompt, segments, decodes, targets, sentMs);
  }

  private void add(EngineJob job, long nowMs) {
    load.add(job, nowMs);
    if (iterations.entry(job.id()) == null) {
      iterations.setSlowness(load.slowness(nowMs));
      iterations.add(job, nowMs);
    }
  }

  private void recordFirstToken(long id, long nowMs) {
    load.recordFirstToken(id, nowMs);
    JobProgress entry = iterations.entry(id);
    if (entry == null || entry.firstTokenConfirmed) {
      return;
    }
    if (entry.job.decodes()) {
      iterations.confirmFirstToken(entry, nowMs);
    } else {
      entry.confirmFirstToken(nowMs);
    }
  }

  private void remove(long id, long nowMs) {
    load.remove(id, nowMs);
    iterations.remove(id, nowMs);
  }

  /** Returns the forecast, computed field by field. */
  private EngineForecast expectedForecast(long nowMs) {
    double slowness = load.slowness(nowMs);
    iterations.setSlowness(slowness);
    iterations.advance(nowMs);
    double remainingMs = iterations.remainingMs(nowMs);
    double overdueMs = 0;
    double sharedMs = 0;
    boolean sharedInIteration = false;
    int streams = 0;
    int shortStreams = 0;
    int helperSegments = 0;
    List<EngineJob> unpausedStreams = new ArrayList<>();
    for (JobProgress entry : iterations.entries()) {
      EngineJob job = entry.job;
      boolean prefilled = entry.isPrefilled();
      boolean overdue =
          job.decodes() && prefilled && !entry.firstTokenConfirmed && job.segments() == 1;
      overdueMs = Math.max(overdueMs, overdue ? nowMs - entry.prefilledAtMs : 0);
      sharedMs += job.segments() > 1 && !prefilled ? entry.unscheduledMs() * slowness : 0;
      sharedInIteration |= job.segments() > 1 && !prefilled && entry.inIterationMs > 0;
      streams += job.decodes() ? 1 : 0;
      shortStreams += job.decodes() && job.promptTokens() < LONG_TOKENS ? 1 : 0;
      helperSegments += job.decodes() || prefilled ? 0 : 1;
      if (job.decodes() && prefilled && !entry.paused) {
        unpausedStreams.add(job);
      }
    }
    EngineForecast.PrefillWork waiting = new EngineForecast.PrefillWork(0, 0);
    for (JobProgress entry : iterations.waiting()) {
      waiting =
          waiting.plus(
              new EngineForecast.PrefillWork(
                  entry.unscheduledMs() * slowness, entry.unscheduledTokens()));
    }
    return new EngineForecast(
        remainingMs,
        iterations.preemptible(),
        overdueMs,
        iterations.decodeStepsMs() * slowness,
        waiting,
        sharedInIteration ? sharedMs + remainingMs : sharedMs,
        iterations.maxPrefillTokens(),
        slowness,
        streams,
        shortStreams,
        helperSegments,
        unpausedStreams,
        pendingPrefills(remainingMs, remainingMs + overdueMs + waiting.ms(), nowMs));
  }

  private List<EngineForecast.PendingPrefill> pendingPrefills(
      double remainingMs, double afterAllMs, long nowMs) {
    List<EngineForecast.PendingPrefill> pendingPrefills = new ArrayList<>();
    for (JobProgress entry : iterations.entries()) {
      if (!entry.isPrefilled()) {
        boolean inIteration = entry.unscheduledTokens() == 0;
        double firstTokenMs = nowMs - entry.job.sentMs() + (inIteration ? remainingMs : afterAllMs);
        pendingPrefills.add(
            new EngineForecast.PendingPrefill(entry.job, inIteration, firstTokenMs));
      }
    }
    return pendingPrefills;
  }
}
