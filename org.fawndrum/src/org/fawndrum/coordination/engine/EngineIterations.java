// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.engine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.fawndrum.state.EngineProfile;

/**
 * Simulates the iterations of one engine's batch loop ahead of the reports about it. An iteration
 * prefills the work that waits when it begins, and then runs a number of decode steps for every
 * stream. All prefill in an iteration therefore pauses all streams, and the first tokens of its
 * prompts come together at its end. Segments of shared prompts go before all other prompts, the
 * newest first. While streams decode, an iteration prefills a bounded number of tokens. While none
 * do, it prefills one prompt, and is preempted when such a segment arrives. Reported first tokens
 * correct the model.
 *
 * <p>Confined to one thread; times are those of the host's clock, in milliseconds.
 */
final class EngineIterations {
  /** Maximum delay of the report of a first token, in milliseconds; two daemons batch reports. */
  private static final double REPORT_DELAY_MS = 40;

  /**
   * Minimum duration of an iteration, in milliseconds, so that the simulation reaches the present
   * even if the configured profile lacks figures.
   */
  private static final double MIN_ITERATION_MS = 1;

  private final EngineProfile profile;
  private final Map<Long, JobProgress> entries = new LinkedHashMap<>();
  private boolean running;
  private double startMs;
  private double endMs = Double.NEGATIVE_INFINITY;

  /** Whether the current iteration began without decoding streams, and so can be preempted. */
  private boolean preemptible;

  /** The tokens that the current iteration could still prefill. */
  private long spareTokens;

  private double slowness = 1;

  /**
   * Creates the simulation of an idle engine.
   *
   * @param profile its speed; null for a plain service, which has no iterations
   */
  EngineIterations(EngineProfile profile) {
    this.profile = profile;
  }

  Collection<JobProgress> entries() {
    return entries.values();
  }

  JobProgress entry(long id) {
    return entries.get(id);
  }

  /** Sets the slowness of the engine relative to its profile for the iterations that follow. */
  void setSlowness(double newSlowness) {
    slowness = newSlowness;
  }

  /** Returns the maximum number of tokens that an iteration prefills while streams decode. */
  long maxPrefillTokens() {
    return (long) profile.stepsPerIteration() * profile.chunkTokens();
  }

  /** Returns the remaining time of the current iteration, in milliseconds; 0 if there is none. */
  double remainingMs(long nowMs) {
    return running ? Math.max(0, endMs - nowMs) : 0;
  }

  /** Simulates the iterations up to a time. */
  void advance(long nowMs) {
    while (running && endMs <= nowMs) {
      endIteration(endMs);
      skipIdleIterations(nowMs);
      running = startIteration(endMs);
    }
  }

  /**
   * Skips to the last iteration that began before a time, if there is no prefill: all of these
   * iterations have the same duration.
   */
  private void skipIdleIterations(long nowMs) {
    double stepsMs = decodeStepsMs() * slowness;
    if (stepsMs > 0 && waiting().isEmpty()) {
      endMs += Math.floor((nowMs - endMs) / stepsMs) * stepsMs;
    }
  }

  /** Adds a job. If it was sent before the current iteration began, it becomes part of it. */
  void add(EngineJob job, long nowMs) {
    advance(nowMs);
    JobProgress entry = new JobProgress(job, profile);
    entries.put(job.id(), entry);
    if (profile == null) {
      return;
    }
    double sentMs = Math.min(job.sentMs(), nowMs);
    if (!running) {
      running = startIteration(Math.max(endMs, sentMs));
      advance(nowMs);
    } else if (preemptible && entry.shared()) {
      preempt(nowMs - startMs, nowMs);
    } else if (sentMs < startMs && spareTokens > 0) {
      endMs += schedule(entry) * slowness;
    }
  }

  /**
   * Ends the current iteration now, and begins the next one with the work that was not done.
   *
   * @param prefillMs how long the current iteration has prefilled
   */
  private void preempt(double prefillMs, long nowMs) {
    double plannedMs = 0;
    for (JobProgress entry : entries.values()) {
      plannedMs += entry.inIterationMs * slowness;
    }
    double skippedFraction = plannedMs <= 0 ? 0 : 1 - Math.max(0, prefillMs) / plannedMs;
    for (JobProgress entry : entries.values()) {
      entry.unschedule(Math.max(0, skippedFraction));
    }
    endIteration(nowMs);
    endMs = nowMs;
    running = startIteration(nowMs);
  }

  private double schedule(JobProgress entry) {
    long tokens = Math.min(spareTokens, entry.unscheduledTokens());
    spareTokens -= tokens;
    return entry.schedule(tokens);
  }

  /** Removes a job, together with its remaining time in the current iteration. */
  void remove(long id, long nowMs) {
    JobProgress entry = entries.remove(id);
    if (entry != null && running && entry.inIterationMs > 0) {
      endMs = Math.max(nowMs, endMs - entry.inIterationMs * slowness);
    }
  }

  /** Records a reported first token: an iteration of this engine has just ended. */
  void confirmFirstToken(JobProgress entry, long nowMs) {
    advance(nowMs);
    boolean early = !entry.isPrefilled();
    double delayMs = early ? 0 : nowMs - entry.prefilledAtMs - REPORT_DELAY_MS;
    double prefillMs = nowMs - startMs - (entry.inIterationMs + decodeStepsMs()) * slowness;
    entry.confirmFirstToken(nowMs);
    if (early) {
      // The iteration was shorter than forecast: it did not prefill all the work scheduled in it.
      preempt(prefillMs, nowMs);
    } else if (delayMs > 0 && !entry.shared() && running) {
      endMs += delayMs;
    }
  }

  private void endIteration(double atMs) {
    for (JobProgress entry : entries.values()) {
      entry.iterationEnded(atMs);
    }
  }

  /** Begins an iteration; returns false if there is nothing to do. */
  private boolean startIteration(double atMs) {
    List<JobProgress> decoding = decoding();
    List<JobProgress> waiting = waiting();
    if (decoding.isEmpty() && waiting.isEmpty()) {
      return false;
    }
    double prefillMs = 0;
    boolean decodes = !decoding.isEmpty();
    preemptible = !decodes;
    if (!decodes) {
      JobProgress first = waiting.remove(0);
      prefillMs += first.schedule(first.unscheduledTokens());
      decodes = first.job.decodes();
    }
    spareTokens = decodes ? maxPrefillTokens() : 0;
    for (JobProgress entry : waiting) {
      prefillMs += schedule(entry);
    }
    double iterationMs =
        Math.max(MIN_ITERATION_MS, (prefillMs + (decodes ? decodeStepsMs() : 0)) * slowness);
    startMs = atMs;
    endMs = atMs + iterationMs;
    markPaused(decoding, iterationMs);
    return true;
  }

  private static void markPaused(List<JobProgress> decoding, double iterationMs) {
    for (JobProgress entry : decoding) {
      long pauseMs = entry.job.latencyTargets().pauseMs();
      entry.paused |= pauseMs > 0 && iterationMs > pauseMs;
    }
  }

  /**
   * Returns the duration of the decode steps of an iteration at the usual speed, in milliseconds; 0
   * if there is no work at all. Counts the streams that decode and those that begin when the
   * current iteration ends. Without any of these it is the fixed cost of the steps, which an engine
   * that only prefills does not have.
   */
  double decodeStepsMs() {
    int streams = 0;
    long context = 0;
    for (JobProgress entry : entries.values()) {
      if (entry.decoding() || entry.job.decodes() && entry.unscheduledTokens() == 0) {
        streams++;
        context += entry.segmentTokens;
      }
    }
    return entries.isEmpty() ? 0 : profile.iterationMs(streams, context);
  }

  private List<JobProgress> decoding() {
    List<JobProgress> decoding = new ArrayList<>();
    for (JobProgress entry : entries.values()) {
      if (entry.decoding()) {
        decoding.add(entry);
      }
    }
    return decoding;
  }

  /** Returns whether a segment of a shared prompt would start at once. */
  boolean preemptible() {
    return !running || preemptible;
  }

  /** Returns the jobs with unscheduled tokens, in the order in which they are prefilled. */
  List<JobProgress> waiting() {
    List<JobProgress> shared = new ArrayList<>();
    List<JobProgress> unshared = new ArrayList<>();
    for (JobProgress entry : entries.values()) {
      if (entry.unscheduledTokens() > 0) {
        (entry.shared() ? shared : unshared).add(entry);
      }
    }
    Collections.reverse(shared);
    shared.addAll(unshared);
    return shared;
  }
}
