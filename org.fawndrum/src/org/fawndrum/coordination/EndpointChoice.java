// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.List;
import java.util.Optional;

/**
 * Where a request goes: what the placement chooses among the endpoints of its target. A suspected
 * request goes where no other one does, as long as that leaves an endpoint which can take it.
 * Confined to the coordinator's thread; times are those of the host's clock, in milliseconds.
 */
final class EndpointChoice {
  private final String zone;
  private final EndpointBook endpoints;
  private final Placement placement;
  private final SuspectRequests suspects;

  /**
   * Makes a choice among endpoints.
   *
   * @param zone the host's availability zone
   */
  EndpointChoice(
      String zone, EndpointBook endpoints, Placement placement, SuspectRequests suspects) {
    this.zone = zone;
    this.endpoints = endpoints;
    this.placement = placement;
    this.suspects = suspects;
  }

  /** Returns where a request is to be sent now; empty when it has to wait. */
  Optional<Placement.Choice> choose(LiveRequest request, int priority, long nowMs) {
    List<EndpointState> all = endpoints.serving(request.facts.target());
    request.allowAllIfNoneIsLeft(all.size());
    List<EndpointState> isolated = suspects.isolated(request, all);
    Optional<Placement.Choice> choice = choose(request, isolated, priority, nowMs);
    boolean widens = choice.isEmpty() && isolated.size() < all.size();
    return widens ? choose(request, all, priority, nowMs) : choice;
  }

  private Optional<Placement.Choice> choose(
      LiveRequest request, List<EndpointState> candidates, int priority, long nowMs) {
    return placement.choose(
        new Placement.Query(request.facts, priority, candidates, request.excluded, zone, nowMs));
  }
}
