// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.membership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.fawndrum.state.HostAddress;

/**
 * Selects the daemon that issues the permits for an endpoint, by rendezvous hashing over the living
 * daemons that issue any. Daemons with different views may select different ones, so selection
 * alone is no right to issue. A daemon issues only if
 *
 * <ul>
 *   <li>it has not heard of a better placed one for longer than that one takes to notice that it
 *       hears nobody, and some time more;
 *   <li>it has itself run without a pause for that time;
 *   <li>it is established: it knows the fleet, and not only those that it has heard since its start
 *       (see {@link #isEstablished});
 *   <li>it hears at least a quarter of the daemons that it has known in the last minutes, and then
 *       only that part of the rate. A daemon that stopped as planned keeps its place in that count
 *       until another one takes it, which may do so where this daemon does not hear it.
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

  /**
   * How long a daemon runs until those that it has heard count as the fleet, in milliseconds:
   * longer than links are cut. Until then others issue that knew the fleet before, if there are
   * any.
   */
  public static final long NEWCOMER_MS = 15_000;

  /**
   * How long a daemon runs, in milliseconds, until it takes it that nobody issues: three
   * heartbeats. Daemons that start together hear of each other in that time.
   */
  static final long SETTLE_MS = 3_000;

  /**
   * Time within which daemons begin together, in milliseconds: one that begins leaves the endpoints
   * of others that are better placed to them for {@link #TAKEOVER_MS}, longer by three heartbeats.
   */
  private static final long TOGETHER_MS = 1_000;

  /** How long a silent daemon is counted as a part of the fleet, in milliseconds. */
  static final long MEMORY_MS = 600_000;

  /**
   * Interval at which a daemon finds out whether it knows the fleet, in milliseconds: a small part
   * of {@link #SETTLE_MS}, since each time it goes through all daemons and seeds.
   */
  static final long ESTABLISH_INTERVAL_MS = 250;

  /** Interval at which such daemons are looked for, in milliseconds. */
  private static final long FORGET_INTERVAL_MS = 1_000;

  /**
   * Smallest part of the fleet that issues permits; smaller ones could be so many that one permit
   * each is too much.
   */
  static final double MIN_PART = 0.25;

  private static final long NEVER_MS = IssuerPresence.NEVER_MS;

  private final FleetMember self;
  private final Supplier<List<HostAddress>> seeds;
  private final Map<String, IssuerPresence> presences = new HashMap<>();
  private long firstCheckMs = NEVER_MS;
  private long runningSinceMs = NEVER_MS;
  private long establishedMs = NEVER_MS;
  private long lastCheckMs;
  private long nextForgetMs = NEVER_MS;
  private long nextEstablishMs = NEVER_MS;
  private int unheardSeeds;
  private boolean established;
  private boolean succeeds;
  private boolean stopping;

  /**
   * Creates the selector of a daemon that knows no other one yet.
   *
   * @param seeds addresses at which other daemons may be found
   */
  public IssuerSelector(FleetMember self, Supplier<List<HostAddress>> seeds) {
    this.self = self;
    this.seeds = seeds;
  }

  /** Records a sign of life of another daemon. */
  public void observed(FleetMember member, long nowMs) {
    boolean knowsFleet = established && nowMs - establishedMs >= TAKEOVER_MS;
    presences.compute(
        member.identity().host(),
        (host, before) -> IssuerPresence.observed(before, member, knowsFleet, nowMs));
  }

  /** Records that this daemon shuts down and issues nothing more. */
  public void stop() {
    stopping = true;
  }

  /** Records that this daemon runs; must be called often. */
  public void check(long nowMs) {
    if (firstCheckMs == NEVER_MS) {
      firstCheckMs = nowMs;
    }
    if (runningSinceMs == NEVER_MS || nowMs - lastCheckMs > MAX_PAUSE_MS) {
      runningSinceMs = nowMs;
    }
    lastCheckMs = nowMs;
    if (nowMs >= nextForgetMs) {
      nextForgetMs = nowMs + FORGET_INTERVAL_MS;
      presences.values().removeIf(presence -> nowMs - presence.lastSeenMs() > MEMORY_MS);
      unheardSeeds = countUnheardSeeds(nowMs);
    }
    boolean settled = nowMs - runningSinceMs >= SETTLE_MS;
    if (!established && settled && nowMs >= nextEstablishMs) {
      nextEstablishMs = nowMs + ESTABLISH_INTERVAL_MS;
      establish(nowMs);
    }
  }

  private void establish(long nowMs) {
    unheardSeeds = countUnheardSeeds(nowMs);
    boolean issued = presences.values().stream().anyMatch(other -> other.issuedBefore(nowMs));
    long runningMs = nowMs - runningSinceMs;
    boolean first = !issued && unheardSeeds == 0;
    if (first || runningMs >= NEWCOMER_MS) {
      succeeds =
          presences.values().stream().noneMatch(other -> other.mayIssueFor(TOGETHER_MS, nowMs));
      established = true;
      establishedMs = nowMs;
    }
  }

  /** Counts the seeds at which a daemon may be that this one has never heard. */
  private int countUnheardSeeds(long nowMs) {
    if (nowMs - firstCheckMs > MEMORY_MS) {
      return 0;
    }
    return (int)
        seeds.get().stream()
            .filter(seed -> !seed.equals(self.address()))
            .filter(
                seed ->
                    presences.values().stream()
                        .noneMatch(presence -> presence.member().address().equals(seed)))
            .distinct()
            .count();
  }

  /**
   * Returns whether this daemon knows the fleet, so that it may issue permits. After its start it
   * does once all seeds have been heard and no one issues that did so before, as where a fleet
   * starts; or once it has run for {@link #NEWCOMER_MS}. Until then it may be on one side of a cut
   * that began before its start, and know of nobody on the other side.
   */
  public boolean isEstablished() {
    return established;
  }

  /** Returns the number of other daemons that this one counts on or has lately heard. */
  public int knownCount() {
    return presences.size();
  }

  /** Returns the number of seeds at which a daemon may be that this one has never heard. */
  public int unheardSeedCount() {
    return unheardSeeds;
  }

  /** Returns the daemon to ask for permits; null if none is known to issue any. */
  public FleetMember issuer(String endpoint, long nowMs) {
    FleetMember best = stopping || !established ? null : self;
    boolean begins = beginsWithOthers(nowMs);
    for (IssuerPresence presence : presences.values()) {
      FleetMember member = presence.member();
      boolean issues = member.issuesPermits() && !presence.isSilent(nowMs);
      boolean candidate = issues || begins && presence.mayBegin(nowMs);
      if (candidate && (best == null || isBetter(endpoint, member, best))) {
        best = member;
      }
    }
    return best;
  }

  /**
   * Returns whether this daemon became established because nobody else issued, and others perhaps
   * with it that could not say so yet.
   */
  private boolean beginsWithOthers(long nowMs) {
    return established && succeeds && nowMs - establishedMs < TAKEOVER_MS;
  }

  /** Returns the part of an endpoint's rate that this daemon may issue now, from 0 to 1. */
  public double part(String endpoint, long nowMs) {
    boolean alone = presences.isEmpty() && !seeds.get().isEmpty();
    if (stopping || alone || !established || nowMs - runningSinceMs < TAKEOVER_MS) {
      return 0;
    }
    boolean begins = beginsWithOthers(nowMs);
    // One that is established beside others which issue waits until these have heard of it.
    if (!succeeds && nowMs - establishedMs < TAKEOVER_MS) {
      return 0;
    }
    for (IssuerPresence presence : presences.values()) {
      boolean mayIssue = presence.mayIssue(nowMs) || begins && presence.mayBegin(nowMs);
      if (mayIssue && isBetter(endpoint, presence.member(), self)) {
        return 0;
      }
    }
    double part = heardPart(nowMs);
    return part < MIN_PART ? 0 : part;
  }

  /** Returns which part of the fleet this daemon hears, itself included. */
  private double heardPart(long nowMs) {
    int known = 1 + unheardSeeds;
    int heard = 1;
    int joined = 0;
    int joinedHeard = 0;
    int left = 0;
    for (IssuerPresence presence : presences.values()) {
      boolean isHeard = !presence.isSilent(nowMs);
      boolean hasJoined = presence.hasJoined(nowMs);
      known += presence.counts(nowMs) ? 1 : 0;
      heard += isHeard ? 1 : 0;
      joined += hasJoined ? 1 : 0;
      joinedHeard += hasJoined && isHeard ? 1 : 0;
      left += presence.hasLeft(nowMs) ? 1 : 0;
    }
    if (left >= joined) {
      return (double) heard / (known + left - joined);
    }
    // Those that joined beside places of others give a part of the fleet no more weight than it
    // had, because a part that does not hear them knows nothing of them.
    int added = Math.min(joined - left, joinedHeard);
    return (double) (heard - added) / (known - added);
  }

  private static boolean isBetter(String endpoint, FleetMember one, FleetMember other) {
    return ZoneTasks.precedes(endpoint, one.identity().host(), other.identity().host());
  }
}
