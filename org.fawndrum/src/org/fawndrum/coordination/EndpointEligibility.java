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
 * Tracks which endpoint incarnations are eligible for new work. An incarnation reported as draining
 * stays so, whether it was first reported by the platform's list, by the endpoint itself in an
 * answer, or by a peer. A list entry that contradicts this is older, because a draining endpoint
 * may be unable to update the store. A restarted endpoint is a new incarnation and is eligible at
 * once. An older list never replaces a newer one. Confined to one thread.
 */
public final class EndpointEligibility {
  /**
   * Maximum number of draining incarnations kept that the list no longer contains. More than the
   * number replaced in a fleet of 10,000 endpoints while a copy of the store that may contain them
   * is in use.
   */
  private static final int MAX_UNLISTED = 1_024;

  private HostListing listing = HostListing.NONE;

  /** The draining incarnations, in the order in which they were first reported. */
  private final Set<HostIdentity> draining = new LinkedHashSet<>();

  /** Draining incarnations reported in an answer, which may have come from a later incarnation. */
  private final Set<HostIdentity> reportedInAnswer = new HashSet<>();

  /**
   * Incarnations that may have sent such an answer. They receive no work until they were probed.
   */
  private final Set<HostIdentity> unverified = new HashSet<>();

  private final Set<HostIdentity> notYetProbed = new LinkedHashSet<>();
  private final Map<String, Long> newestIncarnations = new HashMap<>();

  /** Applies a version of the list. Returns whether it was newer than the current one. */
  public boolean updateListing(HostListing newer) {
    if (newer.version() <= listing.version()) {
      return false;
    }
    listing = newer;
    newer.endpoints().forEach(endpoint -> recordIncarnation(endpoint.identity()));
    draining.addAll(newer.drainingEndpoints());
    reportedInAnswer.removeAll(newer.drainingEndpoints());
    pruneDraining();
    return true;
  }

  /**
   * Records that an incarnation is draining, as reported by itself or by a peer. Returns whether
   * this was unknown.
   */
  public boolean markDraining(HostIdentity endpoint) {
    return !isSuperseded(endpoint) && draining.add(endpoint);
  }

  /**
   * Records that an incarnation is draining, as reported in an answer, which does not name the
   * incarnation that sent it. The endpoint may have restarted unnoticed before; an incarnation
   * discovered later must be probed before use. Returns whether this was unknown.
   */
  public boolean markDrainingFromAnswer(HostIdentity endpoint) {
    boolean isNew = markDraining(endpoint);
    if (isNew) {
      reportedInAnswer.add(endpoint);
    }
    return isNew;
  }

  /** Returns the endpoints whose newest incarnation must be probed, each incarnation once. */
  public List<Endpoint> takeUnverified() {
    if (notYetProbed.isEmpty()) {
      return List.of();
    }
    List<Endpoint> toProbe =
        listing.endpoints().stream()
            .map(this::atNewestIncarnation)
            .filter(endpoint -> notYetProbed.contains(endpoint.identity()))
            .toList();
    toProbe.forEach(endpoint -> notYetProbed.remove(endpoint.identity()));
    return toProbe;
  }

  /**
   * Records that an incarnation was probed. If it is draining, this was reported before this call.
   * Returns whether it was waiting for the probe.
   */
  public boolean markVerified(HostIdentity endpoint) {
    return unverified.remove(endpoint);
  }

  /**
   * Records that an incarnation answered, which means that earlier ones have terminated. Returns
   * whether it is a newer incarnation of a known endpoint.
   */
  public boolean incarnationAnswered(HostIdentity endpoint) {
    return recordIncarnation(endpoint);
  }

  /**
   * Records a reported restart of a listed endpoint. Returns whether the incarnation is new.
   * Endpoints that are not listed are ignored, because only the list says which endpoints to use.
   */
  public boolean incarnationReported(HostIdentity endpoint) {
    return newestIncarnations.containsKey(endpoint.host()) && recordIncarnation(endpoint);
  }

  /** Whether a later incarnation of the endpoint is known. */
  public boolean isSuperseded(HostIdentity endpoint) {
    return endpoint.incarnation() < newest(endpoint);
  }

  private boolean recordIncarnation(HostIdentity endpoint) {
    Long before = newestIncarnations.get(endpoint.host());
    if (before != null && before >= endpoint.incarnation()) {
      return false;
    }
    newestIncarnations.put(endpoint.host(), endpoint.incarnation());
    if (before != null) {
      supersede(new HostIdentity(endpoint.host(), before), endpoint);
    }
    return before != null;
  }

  private void supersede(HostIdentity earlier, HostIdentity later) {
    boolean wasReported = reportedInAnswer.remove(earlier);
    notYetProbed.remove(earlier);
    if (unverified.remove(earlier) || wasReported) {
      unverified.add(later);
      notYetProbed.add(later);
    }
  }

  private void pruneDraining() {
    draining.removeIf(this::isSuperseded);
    if (draining.size() <= MAX_UNLISTED) {
      // The usual case; the limit is exceeded only while a large fleet is being replaced.
      return;
    }
    Set<HostIdentity> listed = new HashSet<>();
    listing.endpoints().forEach(endpoint -> listed.add(endpoint.identity()));
    List<HostIdentity> unlisted =
        draining.stream().filter(endpoint -> !listed.contains(endpoint)).toList();
    unlisted.stream().limit(Math.max(0, unlisted.size() - MAX_UNLISTED)).forEach(this::forget);
  }

  private void forget(HostIdentity endpoint) {
    draining.remove(endpoint);
    reportedInAnswer.remove(endpoint);
  }

  private long newest(HostIdentity endpoint) {
    return newestIncarnations.getOrDefault(endpoint.host(), Long.MIN_VALUE);
  }

  /** Returns the endpoints eligible for new work. */
  public List<Endpoint> eligible() {
    List<Endpoint> eligible = new ArrayList<>();
    for (Endpoint endpoint : listing.endpoints()) {
      Endpoint newest = atNewestIncarnation(endpoint);
      if (!draining.contains(newest.identity()) && !unverified.contains(newest.identity())) {
        eligible.add(newest);
      }
    }
    return eligible;
  }

  /** Returns a listed endpoint at its newest known incarnation, since the list may lag behind. */
  private Endpoint atNewestIncarnation(Endpoint listed) {
    return listed.withIncarnation(Math.max(listed.incarnation(), newest(listed.identity())));
  }

  /** Returns the number of listed endpoints known to be draining. */
  public int listedDrainingCount() {
    if (draining.isEmpty()) {
      return 0;
    }
    return (int)
        listing.endpoints().stream()
            .map(this::atNewestIncarnation)
            .filter(endpoint -> draining.contains(endpoint.identity()))
            .count();
  }

  /** Returns the newest version of the list. */
  public HostListing listing() {
    return listing;
  }

  /** Returns the incarnations known to be draining. */
  public Set<HostIdentity> draining() {
    return Set.copyOf(draining);
  }
}
