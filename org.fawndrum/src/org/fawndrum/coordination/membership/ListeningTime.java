// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.membership;

/**
 * The time for which this daemon has listened to the others. The silence of another daemon is
 * measured in it: while this daemon gets no processor time, messages arrive and are not handled,
 * and its own lateness is no silence of others.
 *
 * <p>It runs with the host's clock while this daemon regularly records that it has handled
 * everything that had arrived, and stands still from {@link #MAX_STEP_MS} after such a record until
 * the next one. Until the first record it is the host's clock. Confined to one thread. Times are in
 * milliseconds.
 */
final class ListeningTime {
  /**
   * Time between two records that counts, in milliseconds: the interval in which a daemon records
   * that it listens, and the delay of such a record on a machine that has processor time.
   */
  static final long MAX_STEP_MS = FleetOverlay.LISTENED_INTERVAL_MS + 50;

  private static final long NEVER_MS = Long.MAX_VALUE / 2;

  private long recordedMs = NEVER_MS;
  private long lostMs;

  /** Records that everything that had arrived by now, by the host's clock, has been handled. */
  void record(long nowMs) {
    if (recordedMs != NEVER_MS) {
      lostMs += Math.max(0, nowMs - recordedMs - MAX_STEP_MS);
    }
    recordedMs = nowMs;
  }

  /** Returns the listening time at a time of the host's clock, not earlier than the last record. */
  long at(long nowMs) {
    return Math.min(nowMs, recordedMs + MAX_STEP_MS) - lostMs;
  }
}
