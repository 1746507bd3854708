// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.engine;

import java.util.List;

/**
 * What an engine has before it at one moment, for weighing what more would do to it. Times are in
 * milliseconds from that moment.
 *
 * @param remainMs how long the pass under way still takes
 * @param overdueMs by how much the engine is behind what was expected of it
 * @param stepsMs the time of the steps of a pass
 * @param waitingMs the time that reading takes of what waits for the next pass and later ones
 * @param waitingTokens what waits, in tokens
 * @param passTokens the most tokens read in a pass while answers are written
 * @param slowness by how much the engine is slower than its profile says, at least 1
 * @param streams answers written there, now or later
 * @param shortStreams those of them that must not pause for long
 * @param helping prompts of which it still has to read a part for another engine
 * @param writing the answers written there that have not paused for too long yet
 * @param unread what waits to be read there and to be answered
 */
record EngineOutlook(
    double remainMs,
    double overdueMs,
    double stepsMs,
    double waitingMs,
    long waitingTokens,
    long passTokens,
    double slowness,
    int streams,
    int shortStreams,
    int helping,
    List<EngineJob> writing,
    List<Unread> unread) {
  /**
   * A prompt that waits.
   *
   * @param firstTokenMs when its first token is expected, in milliseconds after it was sent
   */
  record Unread(EngineJob job, double firstTokenMs) {}

  /** Returns how long answers there pause in the next pass as it is now. */
  double pauseMs() {
    return cappedMs(waitingMs, waitingTokens) + stepsMs;
  }

  /** Returns the same with one more part to read. */
  double pauseMs(double partMs, long partTokens) {
    return cappedMs(waitingMs + partMs, waitingTokens + partTokens) + stepsMs;
  }

  private double cappedMs(double ms, long tokens) {
    return tokens <= passTokens ? ms : ms * passTokens / tokens;
  }

  /** Returns when a part that is sent now is read and its first tokens are written. */
  double firstTokenMs(double partMs) {
    return remainMs + overdueMs + waitingMs + partMs + stepsMs;
  }
}
