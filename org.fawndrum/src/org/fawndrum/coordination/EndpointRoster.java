// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.HostListing;

/**
 * Which endpoint incarnations may get new work. An incarnation that is leaving stays leaving,
 * whoever said so first: the platform's list, the endpoint itself or a peer. A restarted endpoint
 * is another incarnation and comes back at once. An older list is never taken over a newer one.
 * Confined to one thread.
 */
public final class EndpointRoster {
  private HostListing listing = HostListing.NONE;
  private final Set<HostIdentity> leaving = new HashSet<>();
  private final Map<String, Long> newestIncarnations = new HashMap<>();

  /** Takes a reading of the list; returns whether anything changed. */
  public boolean listed(HostListing reading) {
    if (reading.version() <= listing.version()) {
      return false;
    }
    listing = reading;
    reading.endpoints().forEach(endpoint -> seen(endpoint.identity()));
    leaving.addAll(reading.leaving());
    forgetGone();
    return true;
  }

  /**
   * Takes the word that an incarnation is leaving, from itself or from a peer; returns whether it
   * is news.
   */
  public boolean saidLeaving(HostIdentity endpoint) {
    return !isOver(endpoint) && leaving.add(endpoint);
  }

  /** Takes note that an incarnation answered: earlier ones of its host are gone. */
  public boolean answered(HostIdentity endpoint) {
    return seen(endpoint);
  }

  /**
   * Takes somebody's word that a listed endpoint has started again; returns whether it is news. An
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
    return before != null;
  }

  private void forgetGone() {
    leaving.removeIf(this::isOver);
  }

  private long newest(HostIdentity endpoint) {
    return newestIncarnations.getOrDefault(endpoint.host(), Long.MIN_VALUE);
  }

  /** Returns the endpoints that may get new work. */
  public List<Endpoint> open() {
    List<Endpoint> open = new ArrayList<>();
    for (Endpoint endpoint : listing.endpoints()) {
      // The list may still name an earlier life of an endpoint that has answered since.
      Endpoint newest = endpoint.at(Math.max(endpoint.incarnation(), newest(endpoint.identity())));
      if (!leaving.contains(newest.identity())) {
        open.add(newest);
      }
    }
    return open;
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
