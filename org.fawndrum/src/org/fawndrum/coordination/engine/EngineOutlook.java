// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.engine;

import java.util.List;

/**
 * What an engine has before it at one moment, for weighing what more would do to it. Times are in
 * milliseconds from that moment.
 *
 * @param remainMs how long the pass under way still takes
 * @param stoppable whether a part of a prompt on several engines would be read at once
 * @param overdueMs by how much the engine is behind what was expected of it
 * @param stepsIfWritingMs the time of the steps of a pass in which an answer is written; an engine
 *     that only reads does not take it
 * @param waiting what waits for the next pass and later ones
 * @param sharedMs how long parts of prompts on several engines are still read, in all
 * @param passTokens the most tokens read in a pass while answers are written
 * @param slowness by how much the engine is slower than its profile says, at least 1
 * @param streams answers written there, now or later
 * @param shortStreams those of them that must not pause for long
 * @param helping prompts of which it still has to read a part for another engine
 * @param writing the answers written there that have not paused for too long yet
 * @param unread what is not read yet
 */
record EngineOutlook(
    double remainMs,
    boolean stoppable,
    double overdueMs,
    double stepsIfWritingMs,
    Amount waiting,
    double sharedMs,
    long passTokens,
    double slowness,
    int streams,
    int shortStreams,
    int helping,
    List<EngineJob> writing,
    List<Unread> unread) {
  /** So many tokens to read, and the time that it takes. */
  record Amount(double ms, long tokens) {
    Amount plus(Amount more) {
      return new Amount(ms + more.ms, tokens + more.tokens);
    }
  }

  /**
   * A prompt that is not read yet.
   *
   * @param inPass whether the pass under way reads all that is left of it
   * @param firstTokenMs when its first token is expected, in milliseconds after it was sent
   */
  record Unread(EngineJob job, boolean inPass, double firstTokenMs) {}

  /** Returns how long answers there pause in the next pass as it is now. */
  double pauseMs() {
    return cappedMs(waiting) + stepsIfWritingMs;
  }

  /** Returns the same with one more part to read. */
  double pauseMs(Amount part) {
    return cappedMs(waiting.plus(part)) + stepsIfWritingMs;
  }

  private double cappedMs(Amount amount) {
    return amount.tokens <= passTokens ? amount.ms : amount.ms * passTokens / amount.tokens;
  }

  /** Returns when a prompt that this engine alone is sent now gives its first token. */
  double aloneMs(Amount prompt) {
    return remainMs + overdueMs + waiting.ms + prompt.ms + stepsIfWritingMs;
  }

  /** Returns when a part of a prompt on several engines that is sent now is read and answered. */
  double sharedMs(Amount part) {
    double beforeMs = stoppable ? 0 : remainMs + overdueMs + cappedMs(waiting);
    return beforeMs + part.ms + stepsIfWritingMs;
  }

  /** Returns the same if the part is only sent when those sent before it have been read. */
  double afterOthersMs(Amount part) {
    return Math.max(sharedMs, stoppable ? 0 : remainMs) + overdueMs + part.ms + stepsIfWritingMs;
  }
}
