// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.membership;

import org.fawndrum.state.HostIdentity;

/**
 * The state of another daemon as observed here. It is alive from the first message until it is
 * declared gone. Confined to the overlay's thread. Times are {@link ListeningTime listening times},
 * in milliseconds.
 */
final class DaemonState {
  private static final long NEVER_MS = Long.MIN_VALUE / 2;
  private static final long NO_REPORT = -1;

  private FleetMember member;
  private boolean alive;
  private long lastSeenMs;
  private long lastMessageMs = NEVER_MS;
  private long subscribedMs = NEVER_MS;
  private long excludedUntilMs = NEVER_MS;
  private long toldMs = NEVER_MS;
  private long lastSequence = NO_REPORT;

  /**
   * Records a sign of life. Discards the state of another incarnation, or from before the daemon
   * was gone.
   */
  void markAlive(FleetMember newMember, long nowMs) {
    boolean same = isAlive(newMember.identity());
    member = newMember;
    lastSeenMs = nowMs;
    if (!same) {
      alive = true;
      lastMessageMs = NEVER_MS;
      subscribedMs = NEVER_MS;
      excludedUntilMs = NEVER_MS;
      toldMs = NEVER_MS;
      lastSequence = NO_REPORT;
    }
  }

  /** Records a message that came from the daemon itself. */
  void markMessage(long nowMs) {
    lastMessageMs = nowMs;
  }

  /** Records that the daemon subscribes to reports of others. */
  void markSubscribed(long nowMs) {
    subscribedMs = nowMs;
  }

  /** Sets the sequence number of its newest report. */
  void setLastSequence(long sequence) {
    lastSequence = sequence;
  }

  /** Records that it is told which daemons are alive. */
  void markTold(long nowMs) {
    toldMs = nowMs;
  }

  /** Returns the time since it was told which daemons are alive. */
  long sinceToldMs(long nowMs) {
    return nowMs - toldMs;
  }

  /** Excludes it from being chosen as zone leader until a time. */
  void excludeUntil(long untilMs) {
    excludedUntilMs = untilMs;
  }

  /** Marks it as gone; its address is kept. */
  void markGone() {
    alive = false;
  }

  /** Returns its most recent description of itself. */
  FleetMember member() {
    return member;
  }

  /** Returns whether it is alive. */
  boolean isAlive() {
    return alive;
  }

  /** Returns whether this incarnation of it is alive. */
  boolean isAlive(HostIdentity incarnation) {
    return alive && member.identity().equals(incarnation);
  }

  /** Returns whether a later incarnation than this one is alive. */
  boolean isNewerThan(HostIdentity incarnation) {
    return alive && member.identity().incarnation() > incarnation.incarnation();
  }

  /** Returns whether it subscribed to reports recently. */
  boolean isSubscriber(long nowMs) {
    return alive && nowMs - subscribedMs <= FleetOverlay.GONE_MS;
  }

  /** Returns whether it is excluded from being chosen as zone leader now. */
  boolean isExcluded(long nowMs) {
    return excludedUntilMs > nowMs;
  }

  /** Returns the time since the last sign of life. */
  long silentMs(long nowMs) {
    return nowMs - lastSeenMs;
  }

  /** Returns when the last message came from the daemon itself. */
  long lastMessageMs() {
    return lastMessageMs;
  }

  /** Returns until when it is excluded from being chosen as zone leader. */
  long excludedUntilMs() {
    return excludedUntilMs;
  }

  /** Returns the sequence number of its newest report; negative if there is none. */
  long lastSequence() {
    return lastSequence;
  }
}
