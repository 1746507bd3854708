// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.membership;

import org.fawndrum.state.HostIdentity;

/**
 * Another daemon and what was seen of it; alive from when it is heard until it is declared gone.
 * Confined to the overlay's thread. Times are those of the host's clock, in milliseconds.
 */
final class KnownDaemon {
  private static final long NEVER_MS = Long.MIN_VALUE / 2;
  private static final long NO_REPORT = -1;

  private FleetMember member;
  private boolean alive;
  private long heardMs;
  private long heardDirectlyMs = NEVER_MS;
  private long subscribedMs = NEVER_MS;
  private long passedOverUntilMs = NEVER_MS;
  private long lastSequence = NO_REPORT;

  /**
   * Takes note of a sign of life. What was seen of another incarnation, or before the daemon was
   * gone, is forgotten.
   */
  void heard(FleetMember newMember, long nowMs) {
    boolean same = isAlive(newMember.identity());
    member = newMember;
    heardMs = nowMs;
    if (!same) {
      alive = true;
      heardDirectlyMs = NEVER_MS;
      subscribedMs = NEVER_MS;
      passedOverUntilMs = NEVER_MS;
      lastSequence = NO_REPORT;
    }
  }

  /** Takes note of a message that came from the daemon itself. */
  void heardDirectly(long nowMs) {
    heardDirectlyMs = nowMs;
  }

  /** Takes note that the daemon wants reports of others. */
  void subscribed(long nowMs) {
    subscribedMs = nowMs;
  }

  /** Takes note of the newest of its reports. */
  void reported(long sequence) {
    lastSequence = sequence;
  }

  /** Does not let it be chosen as a speaker until a time. */
  void passOver(long untilMs) {
    passedOverUntilMs = untilMs;
  }

  /** Declares it gone; its address is still known. */
  void gone() {
    alive = false;
  }

  /** Returns how it described itself last. */
  FleetMember member() {
    return member;
  }

  /** Tells whether it is alive. */
  boolean isAlive() {
    return alive;
  }

  /** Tells whether this incarnation of it is alive. */
  boolean isAlive(HostIdentity incarnation) {
    return alive && member.identity().equals(incarnation);
  }

  /** Tells whether a later incarnation of it than this one is alive. */
  boolean isNewerThan(HostIdentity incarnation) {
    return alive && member.identity().incarnation() > incarnation.incarnation();
  }

  /** Tells whether it wanted reports not long ago. */
  boolean isSubscriber(long nowMs) {
    return alive && nowMs - subscribedMs <= FleetOverlay.GONE_MS;
  }

  /** Tells whether it may not be chosen as a speaker now. */
  boolean isPassedOver(long nowMs) {
    return passedOverUntilMs > nowMs;
  }

  /** Returns for how long no sign of life of it came. */
  long silentMs(long nowMs) {
    return nowMs - heardMs;
  }

  /** Returns when the last message came from itself. */
  long heardDirectlyMs() {
    return heardDirectlyMs;
  }

  /** Returns from when on it may be chosen as a speaker. */
  long passedOverUntilMs() {
    return passedOverUntilMs;
  }

  /** Returns the number of the newest of its reports; negative when there was none. */
  long lastSequence() {
    return lastSequence;
  }
}
