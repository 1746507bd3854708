// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.engine;

import org.fawndrum.state.EngineProfile;

/** A job in the model of one engine, and how far it has come there. Confined to one thread. */
final class EngineEntry {
  final EngineJob job;

  /** The tokens that this engine reads: its part of the prompt. */
  final long tokens;

  private final double wholeMs;
  private final EngineProfile profile;

  /** The tokens read when the pass under way ends. */
  private long readTokens;

  /** What this job adds to the pass under way, in milliseconds; 0 when it is not in it. */
  double inPassMs;

  private long inPassTokens;

  /** When its part was read, by the host's clock; not a number before that. */
  double readAtMs = Double.NaN;

  /** Whether its first token was seen. */
  boolean confirmed;

  /** Whether its stream has paused for longer than its caller expects. */
  boolean paused;

  EngineEntry(EngineJob job, EngineProfile profile) {
    this.job = job;
    this.profile = profile;
    this.tokens = Math.max(1, job.promptTokens() / job.parts());
    this.wholeMs = profile == null ? 0 : profile.readMs(job.promptTokens()) / job.parts();
  }

  boolean shared() {
    return job.parts() > 1;
  }

  /** Returns the tokens that no pass has taken yet. */
  long leftTokens() {
    return tokens - readTokens;
  }

  /** Returns the time that reading those takes at the engine's usual pace, in milliseconds. */
  double leftMs() {
    return wholeMs - readMs(readTokens);
  }

  private double readMs(long some) {
    return shared() ? wholeMs * some / tokens : profile.readMs(some);
  }

  /** Takes tokens into the pass under way; returns the time that they add, in milliseconds. */
  double take(long some) {
    double before = readMs(readTokens);
    readTokens += some;
    inPassTokens += some;
    double ms = readMs(readTokens) - before;
    inPassMs += ms;
    return ms;
  }

  /** Gives back what the pass under way will not read of this job because it ends early. */
  void giveBack(double partNotRead) {
    readTokens -= Math.round(inPassTokens * partNotRead);
  }

  /** Ends the pass under way for this job. */
  void passEnded(double atMs) {
    inPassMs = 0;
    inPassTokens = 0;
    if (leftTokens() == 0 && !isRead()) {
      readAtMs = atMs;
    }
  }

  /** Takes note that its first token came, whatever was expected. */
  void confirm(double atMs) {
    confirmed = true;
    readTokens = tokens;
    inPassMs = 0;
    inPassTokens = 0;
    if (!isRead()) {
      readAtMs = atMs;
    }
  }

  boolean isRead() {
    return !Double.isNaN(readAtMs);
  }

  /** Tells whether its answer is being written there. */
  boolean writing() {
    return job.writes() && isRead();
  }
}
