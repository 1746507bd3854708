// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * Decides when a host reads a log: the zone leader reads it for its zone, other hosts only if the
 * state received from peers is too old. Thread-safe.
 */
final class LogReadSchedule implements TopicFollower.ReadSchedule {
  /** Maximum pause between retries of a zone leader, in milliseconds. */
  private static final long LEADER_MAX_RETRY_MS = 1_000;

  /**
   * Maximum pause between retries of other hosts, in milliseconds; their zone leader informs them
   * that the store is available again.
   */
  private static final long FOLLOWER_MAX_RETRY_MS = 4_000;

  private final BooleanSupplier leader;
  private final LongSupplier ageMs;
  private final LongSupplier maxAgeMs;

  /**
   * Creates the schedule of one log.
   *
   * @param leader whether this host is the leader of its zone
   * @param ageMs the age of the log state cached by this host, in milliseconds
   * @param maxAgeMs the age up to which it need not read the log itself, in milliseconds
   */
  LogReadSchedule(BooleanSupplier leader, LongSupplier ageMs, LongSupplier maxAgeMs) {
    this.leader = leader;
    this.ageMs = ageMs;
    this.maxAgeMs = maxAgeMs;
  }

  @Override
  public long delayMs() {
    return leader.getAsBoolean() ? 0 : Math.max(0, maxAgeMs.getAsLong() - ageMs.getAsLong());
  }

  @Override
  public long maxRetryMs() {
    return leader.getAsBoolean() ? LEADER_MAX_RETRY_MS : FOLLOWER_MAX_RETRY_MS;
  }
}
