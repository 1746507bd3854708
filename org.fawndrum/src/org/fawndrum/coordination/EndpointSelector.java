// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.List;
import java.util.Optional;

/**
 * Selects the endpoint for a request by applying the placement to the endpoints of its target. A
 * suspected request is sent to endpoints without other suspected requests, unless none of those can
 * take it. Confined to the coordinator's thread; times are those of the host's clock, in
 * milliseconds.
 */
final class EndpointSelector {
  private final String zone;
  private final EndpointRegistry endpoints;
  private final Placement placement;
  private final SuspectedRequests suspectedRequests;

  /**
   * Creates a selector.
   *
   * @param zone the host's availability zone
   */
  EndpointSelector(
      String zone,
      EndpointRegistry endpoints,
      Placement placement,
      SuspectedRequests suspectedRequests) {
    this.zone = zone;
    this.endpoints = endpoints;
    this.placement = placement;
    this.suspectedRequests = suspectedRequests;
  }

  /** Returns where to send a request now, or empty if it has to wait. */
  Optional<Placement.Choice> choose(OpenRequest request, int priority, long nowMs) {
    List<EndpointState> candidates = endpoints.serving(request.facts.target());
    request.clearExclusionsIfNoneLeft(candidates.size());
    List<EndpointState> preferred = suspectedRequests.isolatedEndpoints(request, candidates);
    Optional<Placement.Choice> choice = choose(request, preferred, priority, nowMs);
    boolean useAll = choice.isEmpty() && preferred.size() < candidates.size();
    return useAll ? choose(request, candidates, priority, nowMs) : choice;
  }

  private Optional<Placement.Choice> choose(
      OpenRequest request, List<EndpointState> candidates, int priority, long nowMs) {
    return placement.choose(
        new Placement.Query(
            request.facts, priority, candidates, request.excludedEndpoints, zone, nowMs));
  }
}
