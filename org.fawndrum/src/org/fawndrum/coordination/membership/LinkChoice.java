// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fawndrum.state.HostIdentity;

/**
 * Chooses with which of the known daemons one exchanges messages: its speaker, its subscribers,
 * and, if it passes reports on, a daemon of each other zone. A choice holds for a short while, or
 * until it is dropped. Confined to the overlay's thread. Times are those of the host's clock, in
 * milliseconds.
 */
final class LinkChoice {
  /**
   * A speaker that was silent for so long is replaced, in milliseconds: four of the intervals in
   * which it sends at least something.
   */
  private static final long SPEAKER_SILENT_MS = 1_200;

  /** How long a silent speaker is not chosen again, in milliseconds: longer than it takes to go. */
  private static final long PASSED_OVER_MS = 5_000;

  /** How long a choice of links holds while nobody comes or goes, in milliseconds. */
  private static final long HOLDS_MS = 50;

  private static final Comparator<FleetMember> RANK =
      Comparator.comparingLong(FleetMember::capacity)
          .reversed()
          .thenComparing(member -> member.identity().host());

  private final FleetMember self;
  private final Map<String, KnownDaemon> known;
  private FleetMember chosen;
  private long chosenMs;
  private Links links;
  private long holdsUntilMs;

  /**
   * With whom a daemon exchanges messages.
   *
   * @param speaker the daemon that passes its reports on: itself, if no better one answers
   * @param passesOn whether it passes reports of others on
   * @param near the daemons of its zone that get its messages
   * @param far the daemons of other zones that get its messages; none if it passes none on
   */
  record Links(
      FleetMember speaker, boolean passesOn, List<FleetMember> near, List<FleetMember> far) {}

  /**
   * Makes the choice of a daemon.
   *
   * @param known the other daemons by host, as the overlay keeps them
   */
  LinkChoice(FleetMember self, Map<String, KnownDaemon> known) {
    this.self = self;
    this.known = known;
    this.chosen = self;
  }

  /** Returns the links that hold now. */
  Links at(long nowMs) {
    if (links == null || nowMs >= holdsUntilMs) {
      links = choose(nowMs);
      holdsUntilMs = endMs(nowMs);
    }
    return links;
  }

  /** Drops the choice, since a daemon came, went or subscribed. */
  void drop() {
    links = null;
  }

  /** Returns the best other daemon of a zone, or null when none is alive and answers. */
  FleetMember best(String zone, long nowMs) {
    return known.values().stream()
        .filter(one -> one.isAlive() && one.member().zone().equals(zone))
        .filter(one -> !one.isPassedOver(nowMs))
        .map(KnownDaemon::member)
        .min(RANK)
        .orElse(null);
  }

  /** Returns when the links are to be chosen again, though nobody comes or goes. */
  private long endMs(long nowMs) {
    long endMs = nowMs + HOLDS_MS;
    KnownDaemon current = known.get(chosen.identity().host());
    if (current != null) {
      endMs = Math.min(endMs, heardSpeakerMs(current) + SPEAKER_SILENT_MS + 1);
    }
    for (KnownDaemon one : known.values()) {
      if (one.isPassedOver(nowMs)) {
        endMs = Math.min(endMs, one.passedOverUntilMs());
      }
    }
    return endMs;
  }

  private Links choose(long nowMs) {
    FleetMember speaker = chooseSpeaker(nowMs);
    boolean speaks = speaker.identity().host().equals(self.identity().host());
    List<FleetMember> near = subscribers(true, nowMs);
    boolean passesOn = speaks || !near.isEmpty();
    if (!speaks && !near.contains(speaker)) {
      near.add(speaker);
    }
    return new Links(speaker, passesOn, List.copyOf(near), passesOn ? far(nowMs) : List.of());
  }

  private FleetMember chooseSpeaker(long nowMs) {
    KnownDaemon current = known.get(chosen.identity().host());
    boolean silent =
        current != null && current.isAlive() && nowMs - heardSpeakerMs(current) > SPEAKER_SILENT_MS;
    if (silent) {
      current.passOver(nowMs + PASSED_OVER_MS);
    }
    FleetMember best = best(self.zone(), nowMs);
    FleetMember next = best == null || RANK.compare(self, best) <= 0 ? self : best;
    if (!next.identity().equals(chosen.identity())) {
      chosen = next;
      chosenMs = nowMs;
    }
    return chosen;
  }

  /** Returns from when on the speaker was silent; one just chosen gets time to begin. */
  private long heardSpeakerMs(KnownDaemon speaker) {
    return Math.max(chosenMs, speaker.heardDirectlyMs());
  }

  private List<FleetMember> far(long nowMs) {
    Map<HostIdentity, FleetMember> members = new LinkedHashMap<>();
    subscribers(false, nowMs).forEach(member -> members.put(member.identity(), member));
    for (String zone : otherZones()) {
      FleetMember best = best(zone, nowMs);
      if (best != null) {
        members.put(best.identity(), best);
      }
    }
    return List.copyOf(members.values());
  }

  private List<FleetMember> subscribers(boolean near, long nowMs) {
    List<FleetMember> members = new ArrayList<>();
    for (KnownDaemon one : known.values()) {
      if (one.isSubscriber(nowMs) && isNear(one) == near) {
        members.add(one.member());
      }
    }
    return members;
  }

  private Set<String> otherZones() {
    Set<String> zones = new HashSet<>();
    for (KnownDaemon one : known.values()) {
      if (one.isAlive() && !isNear(one)) {
        zones.add(one.member().zone());
      }
    }
    return zones;
  }

  private boolean isNear(KnownDaemon one) {
    return one.member().zone().equals(self.zone());
  }
}
