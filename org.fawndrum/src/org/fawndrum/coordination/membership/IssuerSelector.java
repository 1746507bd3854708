// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.membership;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;

/**
 * Selects the daemon that issues the permits for an endpoint, by rendezvous hashing over the living
 * daemons that issue any. Daemons with different views may select different ones, so selection
 * alone is no right to issue. A daemon issues only if
 *
 * <ul>
 *   <li>it has not heard of a better placed one for longer than that one takes to notice that it
 *       hears nobody, and some time more;
 *   <li>it has itself run without a pause for that time;
 *   <li>it hears at least a quarter of the daemons that it has known in the last minutes, and then
 *       only that part of the rate.
 * </ul>
 *
 * <p>So the parts of a fleet that do not hear each other issue the rate once among all of them.
 * Confined to one thread. Times are those of the host's clock, in milliseconds.
 */
public final class IssuerSelector {
  /**
   * How long a daemon waits, once it is the best placed one, before it issues, in milliseconds: at
   * least four heartbeats, in which a better placed one hears of it and the other way round.
   */
  public static final long TAKEOVER_MS = 4_000;

  /**
   * Time between two checks after which this daemon counts as paused, in milliseconds: another one
   * takes over only after it has heard nothing for longer, by more than two heartbeats.
   */
  static final long MAX_PAUSE_MS = 4_000;

  /** How long a silent daemon is counted as a part of the fleet, in milliseconds. */
  static final long MEMORY_MS = 600_000;

  /** Interval at which such daemons are looked for, in milliseconds. */
  private static final long FORGET_INTERVAL_MS = 1_000;

  /**
   * Smallest part of the fleet that issues permits; smaller ones could be so many that one permit
   * each is too much.
   */
  static final double MIN_PART = 0.25;

  private final FleetMember self;
  private final BooleanSupplier hasSeeds;
  private final Map<String, Presence> presences = new HashMap<>();
  private long runningSinceMs = Long.MIN_VALUE;
  private long lastCheckMs;
  private long nextForgetMs = Long.MIN_VALUE;
  private boolean stopping;

  /** What is known of another daemon. */
  private record Presence(FleetMember member, long lastSeenMs) {
    boolean isSilent(long nowMs) {
      return nowMs - lastSeenMs > FleetOverlay.GONE_MS;
    }

    /** Whether it belongs to the fleet; one that has stopped as planned does not. */
    boolean counts(long nowMs) {
      return !isSilent(nowMs) || member.issuesPermits();
    }

    boolean mayIssue(long nowMs) {
      return member.issuesPermits() && nowMs - lastSeenMs <= FleetOverlay.GONE_MS + TAKEOVER_MS;
    }
  }

  /**
   * Creates the selector of a daemon that knows no other one yet.
   *
   * @param hasSeeds whether there are other daemons to be found
   */
  public IssuerSelector(FleetMember self, BooleanSupplier hasSeeds) {
    this.self = self;
    this.hasSeeds = hasSeeds;
  }

  /** Records a sign of life of another daemon. */
  public void observed(FleetMember member, long nowMs) {
    presences.put(member.identity().host(), new Presence(member, nowMs));
  }

  /** Records that this daemon shuts down and issues nothing more. */
  public void stop() {
    stopping = true;
  }

  /** Records that this daemon runs; must be called often. */
  public void check(long nowMs) {
    if (runningSinceMs == Long.MIN_VALUE || nowMs - lastCheckMs > MAX_PAUSE_MS) {
      runningSinceMs = nowMs;
    }
    lastCheckMs = nowMs;
    if (nowMs >= nextForgetMs) {
      nextForgetMs = nowMs + FORGET_INTERVAL_MS;
      presences.values().removeIf(presence -> nowMs - presence.lastSeenMs() > MEMORY_MS);
    }
  }

  /** Returns the daemon to ask for permits; null if none is known to issue any. */
  public FleetMember issuer(String endpoint, long nowMs) {
    FleetMember best = stopping ? null : self;
    for (Presence presence : presences.values()) {
      FleetMember member = presence.member();
      boolean candidate = member.issuesPermits() && !presence.isSilent(nowMs);
      if (candidate && (best == null || isBetter(endpoint, member, best))) {
        best = member;
      }
    }
    return best;
  }

  /** Returns the part of an endpoint's rate that this daemon may issue now, from 0 to 1. */
  public double part(String endpoint, long nowMs) {
    boolean alone = presences.isEmpty() && hasSeeds.getAsBoolean();
    if (stopping || alone || nowMs - runningSinceMs < TAKEOVER_MS) {
      return 0;
    }
    int known = 1;
    int heard = 1;
    for (Presence presence : presences.values()) {
      if (presence.mayIssue(nowMs) && isBetter(endpoint, presence.member(), self)) {
        return 0;
      }
      known += presence.counts(nowMs) ? 1 : 0;
      heard += presence.isSilent(nowMs) ? 0 : 1;
    }
    double part = (double) heard / known;
    return part < MIN_PART ? 0 : part;
  }

  private static boolean isBetter(String endpoint, FleetMember one, FleetMember other) {
    return ZoneTasks.precedes(endpoint, one.identity().host(), other.identity().host());
  }
}
