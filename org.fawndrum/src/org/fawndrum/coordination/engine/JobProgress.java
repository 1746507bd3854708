// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.engine;

import org.fawndrum.state.EngineProfile;

/** A job in the model of one engine, with its progress there. Confined to one thread. */
final class JobProgress {
  final EngineJob job;

  /** The tokens that this engine prefills: its segment of the prompt. */
  final long segmentTokens;

  private final double segmentMs;
  private final EngineProfile profile;

  /** The tokens prefilled by the end of the current iteration. */
  private long scheduledTokens;

  /**
   * The time that this job adds to the current iteration, in milliseconds; 0 if it is not part of
   * it.
   */
  double inIterationMs;

  private long inIterationTokens;

  /** When its segment was prefilled, by the host's clock; NaN before that. */
  double prefilledAtMs = Double.NaN;

  /** Whether its first token was reported. */
  boolean firstTokenConfirmed;

  /** Whether its stream has exceeded the maximum pause that its caller expects. */
  boolean paused;

  JobProgress(EngineJob job, EngineProfile profile) {
    this.job = job;
    this.profile = profile;
    this.segmentTokens = Math.max(1, job.promptTokens() / job.segments());
    this.segmentMs = profile == null ? 0 : profile.prefillMs(job.promptTokens()) / job.segments();
  }

  boolean shared() {
    return job.segments() > 1;
  }

  /** Returns the tokens that are not scheduled in any iteration yet. */
  long unscheduledTokens() {
    return segmentTokens - scheduledTokens;
  }

  /**
   * Returns the prefill time of the unscheduled tokens at the engine's usual speed, in
   * milliseconds.
   */
  double unscheduledMs() {
    return segmentMs - prefillMs(scheduledTokens);
  }

  private double prefillMs(long tokenCount) {
    return shared() ? segmentMs * tokenCount / segmentTokens : profile.prefillMs(tokenCount);
  }

  /** Schedules tokens in the current iteration; returns the time that they add, in milliseconds. */
  double schedule(long tokenCount) {
    double beforeMs = prefillMs(scheduledTokens);
    scheduledTokens += tokenCount;
    inIterationTokens += tokenCount;
    double ms = prefillMs(scheduledTokens) - beforeMs;
    inIterationMs += ms;
    return ms;
  }

  /**
   * Unschedules a fraction of the tokens of this job in the current iteration, because it ends
   * early.
   */
  void unschedule(double skippedFraction) {
    scheduledTokens -= Math.round(inIterationTokens * skippedFraction);
  }

  /** Called when the current iteration ends. */
  void iterationEnded(double atMs) {
    inIterationMs = 0;
    inIterationTokens = 0;
    if (unscheduledTokens() == 0 && !isPrefilled()) {
      prefilledAtMs = atMs;
    }
  }

  /** Records that its first token came, whatever the model forecast. */
  void confirmFirstToken(double atMs) {
    firstTokenConfirmed = true;
    scheduledTokens = segmentTokens;
    inIterationMs = 0;
    inIterationTokens = 0;
    if (!isPrefilled()) {
      prefilledAtMs = atMs;
    }
  }

  boolean isPrefilled() {
    return !Double.isNaN(prefilledAtMs);
  }

  /** Returns whether its stream decodes there now. */
  boolean decoding() {
    return job.decodes() && isPrefilled();
  }
}
