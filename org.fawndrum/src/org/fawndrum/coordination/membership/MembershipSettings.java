// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.membership;

/**
 * The intervals of heartbeats. The interval grows with the number of daemons in the zone, which
 * bounds the bytes per second that a daemon sends and receives.
 *
 * @param shortestIntervalMs the interval in a small zone, in milliseconds
 * @param perPeerMs the interval per daemon of the zone, which applies in a large zone, in
 *     milliseconds
 * @param otherZoneMs the interval between zones, in milliseconds
 * @param suspectAfterIntervals the number of intervals without a heartbeat after which a daemon is
 *     suspected
 * @param forgetMs the time without a heartbeat after which a daemon is removed, in milliseconds
 */
public record MembershipSettings(
    long shortestIntervalMs,
    long perPeerMs,
    long otherZoneMs,
    int suspectAfterIntervals,
    long forgetMs) {
  /** The settings that daemons use. */
  public static final MembershipSettings DEFAULT =
      new MembershipSettings(1_000, 80, 5_000, 4, 600_000);

  /** Returns the heartbeat interval in a zone with a number of daemons, in milliseconds. */
  public long intervalMs(int daemons) {
    return Math.max(shortestIntervalMs, perPeerMs * daemons);
  }
}
