// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.membership;

import java.util.function.DoubleSupplier;

/**
 * When a daemon sends its next heartbeat. One that knows no other daemon looks for others sooner at
 * first, and then less and less often: all daemons may look for each other at once, at the few
 * addresses that they are given, and those that are to answer may have as little processor time as
 * they have themselves. Confined to one thread.
 */
public final class HeartbeatSchedule {
  /** The interval of heartbeats while other daemons are known, in milliseconds. */
  public static final long INTERVAL_MS = 1_000;

  /** After how long a daemon that knows no other one looks again at first, in milliseconds. */
  static final long FIRST_SEARCH_MS = 250;

  /**
   * After how long it looks again at most, in milliseconds: short against the time within which a
   * fleet is to serve again after all of it has failed.
   */
  static final long MAX_SEARCH_MS = 2_000;

  private final DoubleSupplier random;
  private long searchMs = FIRST_SEARCH_MS;

  /**
   * Creates the schedule of a daemon that knows no other one yet.
   *
   * @param random returns numbers from 0 to 1, by which daemons that start together differ
   */
  public HeartbeatSchedule(DoubleSupplier random) {
    this.random = random;
  }

  /**
   * Returns the time from a heartbeat to the next one, in milliseconds.
   *
   * @param alone whether no other daemon is known
   */
  public long nextMs(boolean alone) {
    if (!alone) {
      searchMs = FIRST_SEARCH_MS;
      return INTERVAL_MS;
    }
    long latestMs = searchMs;
    searchMs = Math.min(MAX_SEARCH_MS, 2 * searchMs);
    return Math.round(latestMs * (1 + random.getAsDouble()) / 2);
  }
}
