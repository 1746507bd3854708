// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.membership;

/**
 * How often daemons speak. The interval grows with the number of daemons in the zone, so that the
 * bytes a second that a daemon sends and hears stay bounded.
 *
 * @param shortestIntervalMs the interval in a small zone, in milliseconds
 * @param perPeerMs what each daemon of the zone adds to it, in milliseconds
 * @param otherZoneMs the interval between zones, in milliseconds
 * @param suspectAfter how many intervals without a heartbeat make a suspect
 * @param forgetMs after how long without a heartbeat a daemon is forgotten, in milliseconds
 */
public record MembershipSettings(
    long shortestIntervalMs, long perPeerMs, long otherZoneMs, int suspectAfter, long forgetMs) {
  /** The settings that daemons use. */
  public static final MembershipSettings DEFAULT =
      new MembershipSettings(1_000, 80, 5_000, 4, 600_000);

  /** Returns the interval in a zone of so many daemons. */
  public long intervalMs(int daemons) {
    return Math.max(shortestIntervalMs, perPeerMs * daemons);
  }
}
