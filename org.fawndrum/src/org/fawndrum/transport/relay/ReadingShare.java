// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * Shares the reading of a log out: the speaker of a zone reads it for its zone, the other hosts
 * only when what they were told has become too old. Safe for all threads.
 */
final class ReadingShare implements TopicFollower.Need {
  /** The longest pause between retries of a speaker, in milliseconds. */
  private static final long SPEAKER_RETRY_MS = 1_000;

  /** The same for all others, who learn of the store's return from their speaker. */
  private static final long OTHERS_RETRY_MS = 4_000;

  private final BooleanSupplier speaks;
  private final LongSupplier ageMs;
  private final LongSupplier oldestMs;

  /**
   * Makes the share of one log.
   *
   * @param speaks whether this host speaks for its zone
   * @param ageMs how old this host's knowledge of the log is, in milliseconds
   * @param oldestMs up to what age it need not read itself, in milliseconds
   */
  ReadingShare(BooleanSupplier speaks, LongSupplier ageMs, LongSupplier oldestMs) {
    this.speaks = speaks;
    this.ageMs = ageMs;
    this.oldestMs = oldestMs;
  }

  @Override
  public long dueInMs() {
    return speaks.getAsBoolean() ? 0 : Math.max(0, oldestMs.getAsLong() - ageMs.getAsLong());
  }

  @Override
  public long longestRetryMs() {
    return speaks.getAsBoolean() ? SPEAKER_RETRY_MS : OTHERS_RETRY_MS;
  }
}
