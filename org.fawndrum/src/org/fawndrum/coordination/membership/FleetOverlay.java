// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;

/**
 * Which daemons are alive, and with which of them this one exchanges reports, so that each report
 * reaches all daemons without each daemon talking to all others.
 *
 * <p>In each zone the living daemon with the largest capacity is the speaker. The other daemons of
 * the zone subscribe to it; it passes their reports on to its subscribers and to the speakers of
 * other zones. There is no vote: daemons with different views may use different speakers for a
 * while, and whoever has subscribers passes on. A report that comes a second time is passed over,
 * so that no report runs in circles.
 *
 * <p>Confined to one thread. Times are those of the host's clock, in milliseconds.
 */
public final class FleetOverlay {
  /** A daemon that was silent for so long counts as gone, in milliseconds: three heartbeats. */
  static final long GONE_MS = 3_500;

  /** How long the address of a silent daemon is kept, in milliseconds. */
  static final long FORGET_MS = 60_000;

  /**
   * A speaker that was silent for so long is replaced, in milliseconds: four of the intervals in
   * which it sends at least something.
   */
  static final long SPEAKER_SILENT_MS = 1_200;

  /** How long a silent speaker is not chosen again, in milliseconds: longer than it takes to go. */
  static final long PASSED_OVER_MS = 5_000;

  /** How long a choice of links holds while nobody comes or goes, in milliseconds. */
  private static final long LINKS_MS = 50;

  private static final long NEVER_MS = Long.MIN_VALUE / 2;

  private static final Comparator<FleetMember> RANK =
      Comparator.comparingLong(FleetMember::capacity)
          .reversed()
          .thenComparing(member -> member.identity().host());

  private final FleetMember self;
  private final Watcher watcher;
  private final Map<String, Known> known = new HashMap<>();
  private FleetMember chosen;
  private long chosenMs;
  private Links links;
  private long linkedUntilMs;

  /** With whom this daemon exchanges messages. */
  private record Links(
      FleetMember speaker, boolean passesOn, List<FleetMember> near, List<FleetMember> far) {}

  /** Another daemon and what was seen of it. */
  private static final class Known {
    FleetMember member;
    boolean alive;
    long heardMs;
    long heardDirectlyMs = NEVER_MS;
    long subscribedMs = NEVER_MS;
    long passedOverUntilMs = NEVER_MS;
    long lastSequence = -1;

    /** Forgets what was seen of another incarnation. */
    void begin() {
      alive = true;
      heardDirectlyMs = NEVER_MS;
      subscribedMs = NEVER_MS;
      passedOverUntilMs = NEVER_MS;
      lastSequence = -1;
    }
  }

  /** Learns which daemons come and go. Called on the overlay's thread, from within its methods. */
  public interface Watcher {
    /** A daemon was heard that was not alive before. */
    void appeared(FleetMember member);

    /** A daemon counts as gone: it was silent for too long, or another took its place. */
    void gone(FleetMember member, long silentMs);
  }

  /** Makes the overlay of a daemon that has heard nobody yet. */
  public FleetOverlay(FleetMember self, Watcher watcher) {
    this.self = self;
    this.watcher = watcher;
    this.chosen = self;
  }

  /** Takes note of a message that came from a daemon itself. */
  public void heardDirectly(FleetMember member, boolean subscribes, long nowMs) {
    if (isSelf(member.identity())) {
      return;
    }
    heard(member, nowMs);
    Known one = known.get(member.identity().host());
    one.heardDirectlyMs = nowMs;
    if (subscribes) {
      if (!subscriber(one, nowMs)) {
        links = null;
      }
      one.subscribedMs = nowMs;
    }
  }

  /**
   * Takes a report; a whole one is a sign of life.
   *
   * @return whether it is to be used and passed on: it is of a known incarnation of another daemon
   *     and newer than all before
   */
  public boolean take(FleetReport report, long nowMs) {
    if (isSelf(report.from())) {
      return false;
    }
    Known one = known.get(report.from().host());
    boolean same = one != null && one.alive && one.member.identity().equals(report.from());
    if (same && report.sequence() <= one.lastSequence || !same && report.member().isEmpty()) {
      return false;
    }
    report.member().ifPresent(member -> heard(member, nowMs));
    known.get(report.from().host()).lastSequence = report.sequence();
    return true;
  }

  private void heard(FleetMember member, long nowMs) {
    Known one = known.computeIfAbsent(member.identity().host(), host -> new Known());
    boolean same = one.alive && one.member.identity().equals(member.identity());
    if (one.alive && !same) {
      watcher.gone(one.member, nowMs - one.heardMs);
    }
    one.member = member;
    one.heardMs = nowMs;
    if (!same) {
      one.begin();
      links = null;
      watcher.appeared(member);
    }
  }

  /** Takes note of daemons that another one says are alive. */
  public void learn(Collection<FleetMember> members, long nowMs) {
    for (FleetMember member : members) {
      Known one = known.get(member.identity().host());
      boolean unknown = one == null || !one.alive;
      if (unknown && !isSelf(member.identity())) {
        heard(member, nowMs);
      }
    }
  }

  /** Drops daemons that were silent for too long. */
  public void forget(long nowMs) {
    Iterator<Known> all = known.values().iterator();
    while (all.hasNext()) {
      Known one = all.next();
      long silentMs = nowMs - one.heardMs;
      if (one.alive && silentMs > GONE_MS) {
        one.alive = false;
        links = null;
        watcher.gone(one.member, silentMs);
      }
      if (silentMs > FORGET_MS) {
        all.remove();
      }
    }
  }

  /** Returns the daemon that passes this one's reports on: itself, if no better one answers. */
  public FleetMember speaker(long nowMs) {
    return links(nowMs).speaker();
  }

  /** Tells whether this daemon passes reports of others on. */
  public boolean passesOn(long nowMs) {
    return links(nowMs).passesOn();
  }

  /** Returns the daemons of the own zone that get this one's messages. */
  public List<FleetMember> near(long nowMs) {
    return links(nowMs).near();
  }

  /** Returns the daemons of other zones that get this one's messages; none if it passes none on. */
  public List<FleetMember> far(long nowMs) {
    return links(nowMs).far();
  }

  private Links links(long nowMs) {
    if (links == null || nowMs >= linkedUntilMs) {
      links = chooseLinks(nowMs);
      linkedUntilMs = linksEndMs(nowMs);
    }
    return links;
  }

  /** Returns when the links are to be chosen again, though nobody comes or goes. */
  private long linksEndMs(long nowMs) {
    long endMs = nowMs + LINKS_MS;
    Known current = known.get(chosen.identity().host());
    if (current != null) {
      long heardMs = Math.max(chosenMs, current.heardDirectlyMs);
      endMs = Math.min(endMs, heardMs + SPEAKER_SILENT_MS + 1);
    }
    for (Known one : known.values()) {
      if (one.passedOverUntilMs > nowMs) {
        endMs = Math.min(endMs, one.passedOverUntilMs);
      }
    }
    return endMs;
  }

  private Links chooseLinks(long nowMs) {
    FleetMember speaker = chooseSpeaker(nowMs);
    List<FleetMember> near = subscribers(true, nowMs);
    boolean passesOn = isSelf(speaker.identity()) || !near.isEmpty();
    if (!isSelf(speaker.identity()) && !near.contains(speaker)) {
      near.add(speaker);
    }
    return new Links(speaker, passesOn, List.copyOf(near), passesOn ? farLinks(nowMs) : List.of());
  }

  private FleetMember chooseSpeaker(long nowMs) {
    Known current = known.get(chosen.identity().host());
    if (current != null && current.alive) {
      long silentMs = nowMs - Math.max(chosenMs, current.heardDirectlyMs);
      if (silentMs > SPEAKER_SILENT_MS) {
        current.passedOverUntilMs = nowMs + PASSED_OVER_MS;
      }
    }
    FleetMember best = best(self.zone(), nowMs);
    FleetMember next = best == null || RANK.compare(self, best) <= 0 ? self : best;
    if (!next.identity().equals(chosen.identity())) {
      chosen = next;
      chosenMs = nowMs;
    }
    return chosen;
  }

  /** Returns the best other daemon of a zone, or null when none is alive. */
  private FleetMember best(String zone, long nowMs) {
    return known.values().stream()
        .filter(one -> one.alive && one.member.zone().equals(zone))
        .filter(one -> nowMs >= one.passedOverUntilMs)
        .map(one -> one.member)
        .min(RANK)
        .orElse(null);
  }

  private boolean subscriber(Known one, long nowMs) {
    return one.alive && nowMs - one.subscribedMs <= GONE_MS;
  }

  private boolean near(Known one) {
    return one.member.zone().equals(self.zone());
  }

  private List<FleetMember> farLinks(long nowMs) {
    Map<HostIdentity, FleetMember> chosenOnes = new LinkedHashMap<>();
    subscribers(false, nowMs).forEach(member -> chosenOnes.put(member.identity(), member));
    for (String zone : otherZones()) {
      FleetMember best = best(zone, nowMs);
      if (best != null) {
        chosenOnes.put(best.identity(), best);
      }
    }
    return List.copyOf(chosenOnes.values());
  }

  private List<FleetMember> subscribers(boolean near, long nowMs) {
    List<FleetMember> members = new ArrayList<>();
    for (Known one : known.values()) {
      if (subscriber(one, nowMs) && near(one) == near) {
        members.add(one.member);
      }
    }
    return members;
  }

  private Set<String> otherZones() {
    Set<String> zones = new HashSet<>();
    for (Known one : known.values()) {
      if (one.alive && !near(one)) {
        zones.add(one.member.zone());
      }
    }
    return zones;
  }

  /** Tells whether a subscriber of another zone should rather subscribe to one of its own. */
  public boolean knowsBetter(FleetMember subscriber, long nowMs) {
    FleetMember best = best(subscriber.zone(), nowMs);
    return !subscriber.zone().equals(self.zone())
        && best != null
        && !best.identity().equals(subscriber.identity());
  }

  /** Tells whether this incarnation of another daemon is alive. */
  public boolean isAlive(FleetMember member) {
    Known one = known.get(member.identity().host());
    return one != null && one.alive && one.member.identity().equals(member.identity());
  }

  /** Returns the other daemons that are alive. */
  public List<FleetMember> alive() {
    List<FleetMember> members = new ArrayList<>();
    for (Known one : known.values()) {
      if (one.alive) {
        members.add(one.member);
      }
    }
    return members;
  }

  /** Returns where daemons were that are silent now, and so may come back. */
  public List<HostAddress> silent() {
    List<HostAddress> addresses = new ArrayList<>();
    for (Known one : known.values()) {
      if (!one.alive) {
        addresses.add(one.member.address());
      }
    }
    return addresses;
  }

  private boolean isSelf(HostIdentity identity) {
    return identity.host().equals(self.identity().host());
  }
}
