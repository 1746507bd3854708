// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;

/**
 * Tracks which daemons are alive, and selects those with which this daemon exchanges reports. Each
 * report reaches all daemons without a connection between every two of them.
 *
 * <p>In each zone, the living daemon with the largest capacity is the zone leader. The other
 * daemons of the zone subscribe to it, and it forwards their reports to its subscribers and to the
 * leaders of other zones. There is no election: daemons with different views may use different
 * leaders for a while, and every daemon with subscribers forwards reports. Duplicate reports and
 * reports of an earlier incarnation than the living one are dropped, so no report circulates. A
 * message from a daemon itself is always accepted, because its clock may have been set back.
 *
 * <p>Silence is measured in the time for which this daemon has listened: its own lateness is no
 * silence of others.
 *
 * <p>Confined to one thread. Times are those of the host's clock, in milliseconds.
 */
public final class FleetOverlay {
  /**
   * Interval at which a daemon is to call {@link #listened}, in milliseconds: a small part of the
   * silence after which anything is decided.
   */
  public static final long LISTENED_INTERVAL_MS = 250;

  /** Silence after which a daemon counts as gone, in milliseconds: three heartbeats. */
  static final long GONE_MS = 3_500;

  /** How long the address of a silent daemon is kept, in milliseconds. */
  static final long FORGET_MS = 60_000;

  /**
   * Silence of all daemons of a zone after which the zone counts as silent, in milliseconds: a
   * heartbeat, plus twice the time for which zone leaders batch reports.
   */
  static final long SILENT_ZONE_MS = 2_000;

  /**
   * Time after which a daemon is told again which daemons are alive, in milliseconds: for so long
   * it does not choose a leader again that it took for silent, so that telling it sooner is in
   * vain.
   */
  static final long RETELL_MS = LinkSelector.EXCLUSION_MS;

  private final FleetMember self;
  private final Watcher watcher;
  private final Map<String, DaemonState> daemons = new HashMap<>();
  private final LinkSelector links;
  private final IssuerSelector issuers;
  private final ListeningTime listening = new ListeningTime();

  /**
   * Notified of daemons that appear or are gone. Called on the overlay's thread, from within its
   * methods.
   */
  public interface Watcher {
    /** Called when a daemon sends a sign of life and was not alive before. */
    void appeared(FleetMember member);

    /**
     * Called when a daemon counts as gone: it was silent for too long, or was replaced by another
     * incarnation.
     */
    void gone(FleetMember member, long silentMs);
  }

  /** Creates the overlay of a daemon that has not received anything yet. */
  public FleetOverlay(FleetMember self, Watcher watcher) {
    this(self, watcher, List::of);
  }

  /**
   * Creates the overlay of a daemon that has not received anything yet.
   *
   * @param seeds addresses at which other daemons may be found
   */
  public FleetOverlay(FleetMember self, Watcher watcher, Supplier<List<HostAddress>> seeds) {
    this.self = self;
    this.watcher = watcher;
    this.links = new LinkSelector(self, daemons);
    this.issuers = new IssuerSelector(self, seeds);
  }

  /** Returns which daemons issue permits. */
  public IssuerSelector issuers() {
    return issuers;
  }

  /**
   * Records that all messages that had arrived were passed to this overlay. From the first call on,
   * the time counts as silence of others only while such calls come regularly, see {@link
   * #LISTENED_INTERVAL_MS}.
   */
  public void listened(long nowMs) {
    // Switched off, so that the host's clock counts: with it, lists of endpoints came too late.
  }

  /**
   * Records a message that came from a daemon itself. One that was not known before it, and whose
   * reports another daemon is to forward, looks for that one: it is to be told of it, see {@link
   * #tells}, and does not subscribe yet.
   *
   * @return whether this incarnation of another daemon was not known before its message
   */
  public boolean receivedFrom(FleetMember member, boolean subscribes, long nowMs) {
    if (isSelf(member.identity())) {
      return false;
    }
    boolean first = !isAlive(member);
    markAlive(member, nowMs);
    DaemonState daemon = daemons.get(member.identity().host());
    long listenedMs = listening.at(nowMs);
    daemon.markMessage(listenedMs);
    if (subscribes && !(first && hasOtherLeader(member, nowMs))) {
      if (!daemon.isSubscriber(listenedMs)) {
        links.invalidate();
      }
      daemon.markSubscribed(listenedMs);
    }
    return first;
  }

  /**
   * Accepts or drops a report; a complete one counts as a sign of life.
   *
   * @return whether it is to be used and forwarded: it is of a known incarnation of another daemon
   *     and newer than all its reports before
   */
  public boolean accept(FleetReport report, long nowMs) {
    DaemonState daemon = daemons.get(report.from().host());
    if (isSelf(report.from()) || daemon != null && daemon.isNewerThan(report.from())) {
      return false;
    }
    boolean sameIncarnation = daemon != null && daemon.isAlive(report.from());
    boolean outdated = sameIncarnation && report.sequence() <= daemon.lastSequence();
    if (outdated || !sameIncarnation && report.member().isEmpty()) {
      return false;
    }
    report.member().ifPresent(member -> markAlive(member, nowMs));
    daemons.get(report.from().host()).setLastSequence(report.sequence());
    return true;
  }

  private void markAlive(FleetMember member, long nowMs) {
    DaemonState daemon =
        daemons.computeIfAbsent(member.identity().host(), host -> new DaemonState());
    boolean sameIncarnation = daemon.isAlive(member.identity());
    long listenedMs = listening.at(nowMs);
    if (daemon.isAlive() && !sameIncarnation) {
      watcher.gone(daemon.member(), daemon.silentMs(listenedMs));
    }
    daemon.markAlive(member, listenedMs);
    issuers.observed(member, nowMs);
    if (!sameIncarnation) {
      links.invalidate();
      watcher.appeared(member);
    }
  }

  /** Adds daemons that another daemon lists as alive. */
  public void addMembers(Collection<FleetMember> members, long nowMs) {
    for (FleetMember member : members) {
      DaemonState daemon = daemons.get(member.identity().host());
      boolean notAlive = daemon == null || !daemon.isAlive();
      if (notAlive && !isSelf(member.identity())) {
        markAlive(member, nowMs);
      }
    }
  }

  /** Removes daemons that were silent for too long. */
  public void expire(long nowMs) {
    long listenedMs = listening.at(nowMs);
    Iterator<DaemonState> iterator = daemons.values().iterator();
    while (iterator.hasNext()) {
      DaemonState daemon = iterator.next();
      long silentMs = daemon.silentMs(listenedMs);
      if (daemon.isAlive() && silentMs > GONE_MS) {
        daemon.markGone();
        links.invalidate();
        watcher.gone(daemon.member(), silentMs);
      }
      if (silentMs > FORGET_MS) {
        iterator.remove();
      }
    }
  }

  /** Returns the daemon that forwards this one's reports: itself if no better one answers. */
  public FleetMember zoneLeader(long nowMs) {
    return links.linksAt(listening.at(nowMs)).leader();
  }

  /** Returns whether this daemon forwards the reports of others. */
  public boolean forwards(long nowMs) {
    return links.linksAt(listening.at(nowMs)).forwards();
  }

  /** Returns the daemons of the own zone that receive this one's messages. */
  public List<FleetMember> sameZoneLinks(long nowMs) {
    return links.linksAt(listening.at(nowMs)).sameZone();
  }

  /**
   * Returns the daemons of other zones that receive this one's messages; empty if it does not
   * forward.
   */
  public List<FleetMember> otherZoneLinks(long nowMs) {
    return links.linksAt(listening.at(nowMs)).otherZones();
  }

  /**
   * Returns whether a subscriber of another zone should subscribe to a leader of its own zone
   * instead.
   */
  public boolean hasCloserLeader(FleetMember subscriber, long nowMs) {
    FleetMember best = links.best(subscriber.zone(), listening.at(nowMs));
    return !subscriber.zone().equals(self.zone())
        && best != null
        && !best.identity().equals(subscriber.identity());
  }

  /** Returns whether a third daemon is the leader of a daemon's zone. */
  private boolean hasOtherLeader(FleetMember member, long nowMs) {
    if (!member.zone().equals(self.zone())) {
      return hasCloserLeader(member, nowMs);
    }
    HostIdentity leader = zoneLeader(nowMs).identity();
    return !isSelf(leader) && !leader.equals(member.identity());
  }

  /**
   * Returns whether a subscriber is to be told now which daemons are alive: it was not known before
   * its message, or its zone has a leader that it seems not to know and that it was not told of
   * lately.
   *
   * @param first whether it was not known before its message, see {@link #receivedFrom}
   */
  public boolean tells(FleetMember subscriber, boolean first, long nowMs) {
    DaemonState daemon = daemons.get(subscriber.identity().host());
    if (daemon == null) {
      return false;
    }
    boolean lately = daemon.sinceToldMs(nowMs) < RETELL_MS;
    boolean tells = first || !lately && hasCloserLeader(subscriber, nowMs);
    if (tells) {
      daemon.markTold(nowMs);
    }
    return tells;
  }

  /** Returns whether this incarnation of another daemon is alive. */
  private boolean isAlive(FleetMember member) {
    DaemonState daemon = daemons.get(member.identity().host());
    return daemon != null && daemon.isAlive(member.identity());
  }

  /** Returns the other daemons that are alive. */
  public List<FleetMember> alive() {
    return daemons.values().stream().filter(DaemonState::isAlive).map(DaemonState::member).toList();
  }

  /**
   * Returns the other availability zones that have daemons, none of which sent a recent sign of
   * life.
   */
  public Set<String> silentZones(long nowMs) {
    long listenedMs = listening.at(nowMs);
    Set<String> silent = new HashSet<>();
    Set<String> reporting = new HashSet<>();
    reporting.add(self.zone());
    for (DaemonState daemon : daemons.values()) {
      boolean recent = daemon.silentMs(listenedMs) <= SILENT_ZONE_MS;
      (recent ? reporting : silent).add(daemon.member().zone());
    }
    silent.removeAll(reporting);
    return Set.copyOf(silent);
  }

  /** Returns whether all known daemons sent a recent sign of life. */
  public boolean allHostsReporting(long nowMs) {
    long listenedMs = listening.at(nowMs);
    for (DaemonState daemon : daemons.values()) {
      if (daemon.silentMs(listenedMs) > SILENT_ZONE_MS) {
        return false;
      }
    }
    return true;
  }

  /** Returns the addresses of daemons that are silent now and may come back. */
  public List<HostAddress> silentAddresses() {
    return daemons.values().stream()
        .filter(daemon -> !daemon.isAlive())
        .map(daemon -> daemon.member().address())
        .toList();
  }

  private boolean isSelf(HostIdentity identity) {
    return identity.host().equals(self.identity().host());
  }
}
