// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * Decides when a host reads a log: the zone leader reads it for its zone, other hosts only if the
 * state received from peers is too old. Thread-safe.
 */
final class LogReadSchedule implements TopicFollower.ReadSchedule {
  private final BooleanSupplier leader;
  private final LongSupplier ageMs;
  private final LongSupplier maxAgeMs;

  /**
   * Creates the schedule of one log.
   *
   * @param leader whether this host reads the store for others, too
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
}
