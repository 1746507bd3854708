// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Decides when a host reads a log: the zone leader reads it for its zone, other hosts only if the
 * state received from peers is too old. Thread-safe.
 */
final class LogReadSchedule implements TopicFollower.ReadSchedule {
  private final BooleanSupplier leader;
  private final LongSupplier ageMs;
  private final LongSupplier maxAgeMs;
  private final Supplier<StoreTimes> times;

  /**
   * Creates the schedule of one log.
   *
   * @param leader whether this host is the leader of its zone
   * @param ageMs the age of the log state cached by this host, in milliseconds
   * @param maxAgeMs the age up to which it need not read the log itself, in milliseconds
   * @param times the times in force
   */
  LogReadSchedule(
      BooleanSupplier leader,
      LongSupplier ageMs,
      LongSupplier maxAgeMs,
      Supplier<StoreTimes> times) {
    this.leader = leader;
    this.ageMs = ageMs;
    this.maxAgeMs = maxAgeMs;
    this.times = times;
  }

  @Override
  public long delayMs() {
    return leader.getAsBoolean() ? 0 : Math.max(0, maxAgeMs.getAsLong() - ageMs.getAsLong());
  }

  @Override
  public long maxRetryMs() {
    return times.get().maxRetryMs(leader.getAsBoolean());
  }
}
