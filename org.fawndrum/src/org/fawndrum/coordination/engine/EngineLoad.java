// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.engine;

import java.util.ArrayList;
import java.util.List;
import org.fawndrum.state.EngineProfile;

/**
 * The jobs that all daemons are known to have at one endpoint, and the time that they take. Only
 * engines have times: for a plain service the jobs are counted, and the methods that return times
 * must not be called. Confined to one thread; times are those of the host's clock, in milliseconds.
 */
public final class EngineLoad {
  /** Weight of the newest observation in the moving average of the slowness. */
  private static final double NEWEST_WEIGHT = 0.3;

  /** Maximum slowness that a single observation may contribute. */
  private static final double MAX_SLOWNESS_RATIO = 20;

  /** Time after which half of an observed slowness has decayed, in milliseconds. */
  private static final double HALF_LIFE_MS = 4_000;

  /** Minimum observed time, in milliseconds; shorter ones say nothing about the speed. */
  private static final double MIN_OBSERVED_MS = 80;

  private final EngineProfile profile;
  private final EngineIterations iterations;
  private double slowness = 1;
  private long observedMs;

  /**
   * Creates the load of an idle endpoint.
   *
   * @param profile its speed; null for a plain service
   */
  public EngineLoad(EngineProfile profile) {
    this.profile = profile;
    this.iterations = new EngineIterations(profile);
  }

  /** Adds a job, unless it is already present. */
  public void add(EngineJob job, long nowMs) {
    if (iterations.entry(job.id()) == null) {
      iterations.setSlowness(slowness(nowMs));
      iterations.add(job, nowMs);
    }
  }

  /** Records that a prompt is prefilled: its first token came. */
  public void recordFirstToken(long id, long nowMs) {
    JobProgress entry = iterations.entry(id);
    if (entry == null || entry.firstTokenConfirmed || profile == null) {
      return;
    }
    if (!entry.job.decodes()) {
      // The segment was prefilled long before; the time of the first token says nothing about this
      // engine's iteration.
      entry.confirmFirstToken(nowMs);
      return;
    }
    iterations.advance(nowMs);
    observe(entry, nowMs);
    iterations.confirmFirstToken(entry, nowMs);
  }

  /** Compares the time that an unshared prompt took with the forecast. */
  private void observe(JobProgress entry, long nowMs) {
    double tookMs = nowMs - entry.job.sentMs();
    if (entry.shared() || tookMs < MIN_OBSERVED_MS) {
      return;
    }
    double expectedMs = entry.isPrefilled() ? entry.prefilledAtMs - entry.job.sentMs() : tookMs;
    double ratio = tookMs / Math.max(MIN_OBSERVED_MS, expectedMs);
    slowness =
        slowness(nowMs) * (1 - NEWEST_WEIGHT)
            + Math.min(MAX_SLOWNESS_RATIO, Math.max(1, ratio)) * NEWEST_WEIGHT;
    observedMs = nowMs;
  }

  /** Returns the ratio of the actual time to the time in the profile, at least 1. */
  public double slowness(long nowMs) {
    double remaining = Math.pow(0.5, Math.max(0, nowMs - observedMs) / HALF_LIFE_MS);
    return 1 + (slowness - 1) * remaining;
  }

  /** Removes a job that completed or failed. */
  public void remove(long id, long nowMs) {
    iterations.remove(id, nowMs);
  }

  /** Returns the number of jobs. */
  public int jobCount() {
    return iterations.entries().size();
  }

  /** Returns the number of jobs whose answers are generated there, prefilled or not. */
  public int streams() {
    int count = 0;
    for (JobProgress entry : iterations.entries()) {
      count += entry.job.decodes() ? 1 : 0;
    }
    return count;
  }

  /** Returns the maximum cache memory that the known jobs use, in tokens. */
  public long memoryTokens() {
    long sum = 0;
    for (JobProgress entry : iterations.entries()) {
      sum += entry.job.memoryTokens();
    }
    return sum;
  }

  /** Returns by how much the engine is behind the model, in milliseconds. */
  private double overdueMs(long nowMs) {
    double maxMs = 0;
    for (JobProgress entry : iterations.entries()) {
      if (entry.decoding() && !entry.firstTokenConfirmed && !entry.shared()) {
        maxMs = Math.max(maxMs, nowMs - entry.prefilledAtMs);
      }
    }
    return maxMs;
  }

  /**
   * Returns the forecast of its load.
   *
   * @param longTokens the length in tokens from which a prompt counts as long
   */
  EngineForecast forecast(long longTokens, long nowMs) {
    double currentSlowness = slowness(nowMs);
    iterations.setSlowness(currentSlowness);
    iterations.advance(nowMs);
    EngineForecast.PrefillWork waiting = waitingWork(currentSlowness);
    return new EngineForecast(
        iterations.remainingMs(nowMs),
        iterations.preemptible(),
        overdueMs(nowMs),
        iterations.decodeStepsMs() * currentSlowness,
        waiting,
        sharedMs(currentSlowness, nowMs),
        iterations.maxPrefillTokens(),
        currentSlowness,
        streams(),
        shortStreams(longTokens),
        helperSegments(),
        unpausedStreams(),
        pendingPrefills(waiting, nowMs));
  }

  /** Returns the number of streams with short prompts, prefilled or not. */
  private int shortStreams(long longTokens) {
    int count = 0;
    for (JobProgress entry : iterations.entries()) {
      count += entry.job.decodes() && entry.job.promptTokens() < longTokens ? 1 : 0;
    }
    return count;
  }

  /** Returns the number of segments still to be prefilled for other engines. */
  private int helperSegments() {
    int count = 0;
    for (JobProgress entry : iterations.entries()) {
      count += !entry.isPrefilled() && !entry.job.decodes() ? 1 : 0;
    }
    return count;
  }

  /** Returns the decoding streams that have not exceeded their maximum pause yet. */
  private List<EngineJob> unpausedStreams() {
    List<EngineJob> unpaused = new ArrayList<>();
    for (JobProgress entry : iterations.entries()) {
      if (entry.decoding() && !entry.paused) {
        unpaused.add(entry.job);
      }
    }
    return unpaused;
  }

  private List<EngineForecast.PendingPrefill> pendingPrefills(
      EngineForecast.PrefillWork waiting, long nowMs) {
    double iterationMs = iterations.remainingMs(nowMs);
    double allWorkMs = iterationMs + overdueMs(nowMs) + waiting.ms();
    List<EngineForecast.PendingPrefill> pending = new ArrayList<>();
    for (JobProgress entry : iterations.entries()) {
      if (!entry.isPrefilled()) {
        boolean inIteration = entry.unscheduledTokens() == 0;
        double firstMs = nowMs - entry.job.sentMs() + (inIteration ? iterationMs : allWorkMs);
        pending.add(new EngineForecast.PendingPrefill(entry.job, inIteration, firstMs));
      }
    }
    return pending;
  }

  private EngineForecast.PrefillWork waitingWork(double currentSlowness) {
    double ms = 0;
    long tokens = 0;
    for (JobProgress entry : iterations.waiting()) {
      ms += entry.unscheduledMs() * currentSlowness;
      tokens += entry.unscheduledTokens();
    }
    return new EngineForecast.PrefillWork(ms, tokens);
  }

  /** Returns the remaining prefill time of all segments of shared prompts, in milliseconds. */
  private double sharedMs(double currentSlowness, long nowMs) {
    double ms = 0;
    boolean inIteration = false;
    for (JobProgress entry : iterations.entries()) {
      if (entry.shared() && !entry.isPrefilled()) {
        ms += entry.unscheduledMs() * currentSlowness;
        inIteration |= entry.inIterationMs > 0;
      }
    }
    return inIteration ? ms + iterations.remainingMs(nowMs) : ms;
  }
}
