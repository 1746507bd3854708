// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.HostListing;

/**
 * Which endpoint incarnations may get new work. An incarnation that is leaving stays leaving,
 * whoever said so first: the platform's list, the endpoint itself in any of its answers, or a peer.
 * Nothing takes that back: an entry that still says otherwise is older, since an endpoint that
 * leaves may have no store to write to. A restarted endpoint is another incarnation and comes back
 * at once. An older list is never taken over a newer one. Confined to one thread.
 */
public final class EndpointRoster {
  /**
   * How many leaving incarnations are kept that the list does not name any more: more than are
   * replaced in a fleet of 10,000 endpoints while a copy of the store that may name them is in use.
   */
  private static final int MOST_UNLISTED = 1_024;

  private HostListing listing = HostListing.NONE;

  /** In the order in which they were heard of. */
  private final Set<HostIdentity> leaving = new LinkedHashSet<>();

  /** Those of them that said so in an answer, which may have been a later start's. */
  private final Set<HostIdentity> saidInAnswer = new HashSet<>();

  /** Starts that may have given such an answer; they get no work until they have been asked. */
  private final Set<HostIdentity> unclear = new HashSet<>();

  private final Set<HostIdentity> notAskedYet = new LinkedHashSet<>();
  private final Map<String, Long> newestIncarnations = new HashMap<>();

  /** Takes a reading of the list; returns whether anything changed. */
  public boolean listed(HostListing reading) {
    if (reading.version() <= listing.version()) {
      return false;
    }
    listing = reading;
    reading.endpoints().forEach(endpoint -> seen(endpoint.identity()));
    leaving.addAll(reading.leaving());
    saidInAnswer.removeAll(reading.leaving());
    forgetGone();
    return true;
  }

  /**
   * Takes the notice that an incarnation is leaving, from itself or from a peer; returns whether it
   * is news.
   */
  public boolean saidLeaving(HostIdentity endpoint) {
    return !isOver(endpoint) && leaving.add(endpoint);
  }

  /**
   * Takes the same from an answer, which does not name the start that gave it. The endpoint may
   * have started again unnoticed before; a start that becomes known later is unclear until it has
   * been asked.
   */
  public boolean saidLeavingInAnswer(HostIdentity endpoint) {
    boolean news = saidLeaving(endpoint);
    if (news) {
      saidInAnswer.add(endpoint);
    }
    return news;
  }

  /** Returns the endpoints at starts that are unclear; each start once. */
  public List<Endpoint> takeUnclear() {
    if (notAskedYet.isEmpty()) {
      return List.of();
    }
    List<Endpoint> toAsk =
        listing.endpoints().stream()
            .map(this::atItsNewestStart)
            .filter(endpoint -> notAskedYet.contains(endpoint.identity()))
            .toList();
    toAsk.forEach(endpoint -> notAskedYet.remove(endpoint.identity()));
    return toAsk;
  }

  /**
   * Takes note that a start was asked; if it leaves, it has said so before this. Returns whether it
   * was unclear.
   */
  public boolean asked(HostIdentity start) {
    return unclear.remove(start);
  }

  /** Takes note that an incarnation answered: earlier ones of its host are gone. */
  public boolean answered(HostIdentity endpoint) {
    return seen(endpoint);
  }

  /**
   * Takes the notice that a listed endpoint has started again; returns whether it is news. An
   * endpoint that is not listed is passed over: only its own entry names one to use.
   */
  public boolean startedAgain(HostIdentity start) {
    return newestIncarnations.containsKey(start.host()) && seen(start);
  }

  /** Tells whether a later start of the endpoint is known. */
  public boolean isOver(HostIdentity start) {
    return start.incarnation() < newest(start);
  }

  private boolean seen(HostIdentity endpoint) {
    Long before = newestIncarnations.get(endpoint.host());
    if (before != null && before >= endpoint.incarnation()) {
      return false;
    }
    newestIncarnations.put(endpoint.host(), endpoint.incarnation());
    if (before != null) {
      startFollows(new HostIdentity(endpoint.host(), before), endpoint);
    }
    return before != null;
  }

  private void startFollows(HostIdentity earlier, HostIdentity later) {
    boolean said = saidInAnswer.remove(earlier);
    notAskedYet.remove(earlier);
    if (unclear.remove(earlier) || said) {
      unclear.add(later);
      notAskedYet.add(later);
    }
  }

  private void forgetGone() {
    leaving.removeIf(this::isOver);
    if (leaving.size() <= MOST_UNLISTED) {
      // So it is with each reading but in a large fleet that is replaced.
      return;
    }
    Set<HostIdentity> listed = new HashSet<>();
    listing.endpoints().forEach(endpoint -> listed.add(endpoint.identity()));
    List<HostIdentity> unlisted =
        leaving.stream().filter(endpoint -> !listed.contains(endpoint)).toList();
    unlisted.stream().limit(Math.max(0, unlisted.size() - MOST_UNLISTED)).forEach(this::forget);
  }

  private void forget(HostIdentity endpoint) {
    leaving.remove(endpoint);
    saidInAnswer.remove(endpoint);
  }

  private long newest(HostIdentity endpoint) {
    return newestIncarnations.getOrDefault(endpoint.host(), Long.MIN_VALUE);
  }

  /** Returns the endpoints that may get new work. */
  public List<Endpoint> open() {
    List<Endpoint> open = new ArrayList<>();
    for (Endpoint endpoint : listing.endpoints()) {
      Endpoint newest = atItsNewestStart(endpoint);
      if (!leaving.contains(newest.identity()) && !unclear.contains(newest.identity())) {
        open.add(newest);
      }
    }
    return open;
  }

  /** The list may still name an earlier life of an endpoint that has answered since. */
  private Endpoint atItsNewestStart(Endpoint listed) {
    return listed.at(Math.max(listed.incarnation(), newest(listed.identity())));
  }

  /** Returns how many endpoints of the list are known to be leaving. */
  public int listedLeaving() {
    if (leaving.isEmpty()) {
      return 0;
    }
    return (int)
        listing.endpoints().stream()
            .map(this::atItsNewestStart)
            .filter(endpoint -> leaving.contains(endpoint.identity()))
            .count();
  }

  /** Returns the newest reading of the list. */
  public HostListing listing() {
    return listing;
  }

  /** Returns the incarnations known to be leaving. */
  public Set<HostIdentity> leaving() {
    return Set.copyOf(leaving);
  }
}
