// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.Arrays;

/**
 * How late this host does its own work, and whether a request can still be answered in time by a
 * host that is so late. It is told of rounds: regular steps that pass through the same threads as a
 * request. Most of the last rounds decide, of those that there have been, so that a host that was
 * late for a moment refuses nothing, and one that is late from its start on knows it. Recorded by
 * one thread; its other methods are thread-safe. Times are in milliseconds.
 */
public final class HostLateness {
  /**
   * Interval of rounds: short against the time for which callers wait, and costs a host without
   * callers next to nothing.
   */
  public static final long ROUND_INTERVAL_MS = 250;

  /** Rounds that count: those of the last two seconds, at least. */
  static final int ROUNDS = 8;

  /**
   * Rounds that a request takes at least: it is placed, its endpoint is connected, the answer is
   * read, and its end is passed on. Each of these waits for a processor as a round does.
   */
  static final int ROUNDS_PER_REQUEST = 4;

  /**
   * The most that a host waits longer for others because it is late itself. A wait that was begun
   * while it was late goes on when it is in time again, and must then end well before anybody
   * relies on the host, three seconds later.
   */
  static final long MAX_ALLOWANCE_MS = 1_000;

  /**
   * Rounds without which a host does not find itself late: the first ones of a start are late on
   * any machine. On a host that lacks processor time they take some seconds.
   */
  static final int MIN_ROUNDS = 3;

  private final long[] lastMs = new long[ROUNDS];
  private int rounds;
  private volatile long usualMs;

  /**
   * Records a round.
   *
   * @param dueMs when it was to begin, by the host's clock
   * @param passedMs when it had passed through all threads
   */
  public void recordRound(long dueMs, long passedMs) {
    lastMs[rounds++ % ROUNDS] = Math.max(0, passedMs - dueMs);
    int counted = Math.min(rounds, ROUNDS);
    long[] sorted = Arrays.copyOf(lastMs, counted);
    Arrays.sort(sorted);
    usualMs = counted < MIN_ROUNDS ? 0 : sorted[(counted - 1) / 2];
  }

  /** Returns a time by which more than half of the last rounds were late. */
  public long usualMs() {
    return usualMs;
  }

  /** Returns for how long a request usually waits for this host. */
  public long perRequestMs() {
    return ROUNDS_PER_REQUEST * usualMs;
  }

  /** Returns how much longer than others this host is to wait for answers to its own calls. */
  public long allowanceMs() {
    return Math.min(MAX_ALLOWANCE_MS, perRequestMs());
  }

  /**
   * Returns whether a request that arrives now can be answered within a time. A host that is not
   * late does not find so, whatever the time is.
   */
  public boolean canFinish(long leftMs) {
    return perRequestMs() <= Math.max(0, leftMs);
  }
}
