// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.membership;

/**
 * What a daemon knows of another one for the issue of permits. Times are those of the host's clock,
 * in milliseconds.
 *
 * @param member its newest description of itself
 * @param lastSeenMs when it last gave a sign of life
 * @param issuedSinceMs when this incarnation of it was first heard to issue permits; {@link
 *     #NEVER_MS} if it did not say so yet
 * @param firstSeenMs when this incarnation of it was first heard
 * @param hasPlace whether it has a place in the fleet: any incarnation of it has issued permits
 * @param joinedMs when it was first heard of by a daemon that knew the fleet; {@link #NEVER_MS} if
 *     that daemon did not know the fleet yet
 */
record IssuerPresence(
    FleetMember member,
    long lastSeenMs,
    long issuedSinceMs,
    long firstSeenMs,
    boolean hasPlace,
    long joinedMs) {
  /** Before any time; a time can be added to it or taken from it. */
  static final long NEVER_MS = Long.MIN_VALUE / 4;

  /**
   * How long the place of a daemon that has stopped as planned is kept for another one that takes
   * it, perhaps where this daemon does not hear it; in milliseconds. Several times the longest
   * outage of links that is to be borne; a fleet that is made smaller issues less for so long.
   */
  static final long REPLACEMENT_MS = 60_000;

  /**
   * Records a sign of life.
   *
   * @param before what was known of the host; null if nothing
   * @param knowsFleet whether the daemon that records it knew the fleet before
   */
  static IssuerPresence observed(
      IssuerPresence before, FleetMember member, boolean knowsFleet, long nowMs) {
    boolean issues = member.issuesPermits();
    boolean same = before != null && before.member.identity().equals(member.identity());
    boolean issuedBefore = same && before.issuedSinceMs != NEVER_MS;
    long issuedSinceMs = issuedBefore ? before.issuedSinceMs : issues ? nowMs : NEVER_MS;
    long firstSeenMs = same ? before.firstSeenMs : nowMs;
    boolean hasPlace = issues || before != null && before.hasPlace;
    long joinedMs = before != null ? before.joinedMs : knowsFleet ? nowMs : NEVER_MS;
    return new IssuerPresence(member, nowMs, issuedSinceMs, firstSeenMs, hasPlace, joinedMs);
  }

  boolean isSilent(long nowMs) {
    return nowMs - lastSeenMs > FleetOverlay.GONE_MS;
  }

  /** Whether it stops, or has stopped, as planned. */
  boolean isStopping() {
    return issuedSinceMs != NEVER_MS && !member.issuesPermits();
  }

  /**
   * Whether it is running, or has not said that it stops and may be running. One that never said
   * that it issues may have been about to, or stops, or is an older build.
   */
  boolean counts(long nowMs) {
    boolean recent = nowMs - lastSeenMs <= REPLACEMENT_MS;
    return !isSilent(nowMs) || !isStopping() && (hasPlace || recent);
  }

  /** Whether its place is free for another daemon. */
  boolean hasLeft(long nowMs) {
    return isSilent(nowMs) && isStopping() && nowMs - lastSeenMs <= REPLACEMENT_MS;
  }

  /** Whether it joined the fleet so lately that it may have taken such a place. */
  boolean hasJoined(long nowMs) {
    return counts(nowMs) && nowMs - joinedMs <= REPLACEMENT_MS;
  }

  /** Whether it may be issuing permits, as far as its silence tells. */
  boolean mayIssue(long nowMs) {
    long silentMs = nowMs - lastSeenMs;
    return member.issuesPermits() && silentMs <= FleetOverlay.GONE_MS + IssuerSelector.TAKEOVER_MS;
  }

  /** Whether it may be issuing permits, and did so when its incarnation was first heard. */
  boolean issuedBefore(long nowMs) {
    return mayIssue(nowMs) && issuedSinceMs == firstSeenMs;
  }

  /** Whether it may be issuing permits, and was heard to for longer than some time. */
  boolean mayIssueFor(long durationMs, long nowMs) {
    return mayIssue(nowMs) && nowMs - issuedSinceMs > durationMs;
  }

  /** Whether it is heard, and may begin to issue permits once it may do so. */
  boolean mayBegin(long nowMs) {
    return !isSilent(nowMs) && !isStopping();
  }
}
