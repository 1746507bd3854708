// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.fawndrum.coordination.limit.EndpointPermits;

/**
 * Selects the endpoint for a request by applying the placement to the endpoints of its target. A
 * suspected request is sent to endpoints without other suspected requests, unless none of those can
 * take it. Confined to the coordinator's thread; times are those of the host's clock, in
 * milliseconds.
 */
final class EndpointSelector {
  /** The highest priority of a request. */
  private static final int MAX_PRIORITY = LoadReport.PRIORITIES - 1;

  /** Maximum number of endpoints without permit that are named in a decision. */
  private static final int MAX_PASSED_OVER = 3;

  private final String zone;
  private final EndpointRegistry endpoints;
  private final Placement placement;
  private final SuspectedRequests suspectedRequests;
  private final EndpointPermits permits;

  /**
   * Creates a selector.
   *
   * @param zone the host's availability zone
   */
  EndpointSelector(
      String zone,
      EndpointRegistry endpoints,
      Placement placement,
      SuspectedRequests suspectedRequests,
      EndpointPermits permits) {
    this.zone = zone;
    this.endpoints = endpoints;
    this.placement = placement;
    this.suspectedRequests = suspectedRequests;
    this.permits = permits;
  }

  /**
   * Returns where to send a request now, or empty if it has to wait. Demands permits for endpoints
   * that would be better, or that it waits for.
   *
   * @param waiting the number of requests that wait for its target, with it
   */
  Optional<Placement.Choice> choose(OpenRequest request, int priority, int waiting, long nowMs) {
    List<EndpointState> candidates = endpoints.serving(request.facts.target());
    request.clearExclusionsIfNoneLeft(candidates.size());
    List<EndpointState> preferred = suspectedRequests.isolatedEndpoints(request, candidates);
    Optional<Placement.Choice> choice =
        placement.choose(query(request, preferred, priority, nowMs));
    if (choice.isEmpty() && preferred.size() < candidates.size()) {
      choice = placement.choose(query(request, candidates, priority, nowMs));
    }
    if (candidates.stream().anyMatch(state -> state.lacksPermit(nowMs))) {
      Placement.Query unlimited = query(request, candidates, priority, nowMs).withoutPermits();
      if (choice.isPresent()) {
        preferPermits(unlimited);
      } else {
        requirePermits(request, unlimited, waiting);
      }
    }
    return choice;
  }

  private Placement.Query query(
      OpenRequest request, List<EndpointState> candidates, int priority, long nowMs) {
    return new Placement.Query(
        request.facts, priority, candidates, request.excludedEndpoints, zone, nowMs);
  }

  /** Demands permits for the endpoints that would be chosen if they needed none. */
  private void preferPermits(Placement.Query query) {
    long nowMs = query.nowMs();
    boolean demandDue =
        query.candidates().stream()
            .anyMatch(s -> s.lacksPermit(nowMs) && permits.mayPrefer(s.endpoint().name(), nowMs));
    if (demandDue) {
      placement.choose(query).stream()
          .flatMap(best -> best.endpoints().stream())
          .filter(state -> state.lacksPermit(nowMs))
          .forEach(state -> permits.prefer(state.endpoint().name(), nowMs));
    }
  }

  /**
   * Demands as many permits as requests wait, of the endpoints that can be expected first, or that
   * have least to do.
   */
  private void requirePermits(OpenRequest request, Placement.Query query, int waiting) {
    long nowMs = query.nowMs();
    List<EndpointState> limited =
        query.candidates().stream()
            .filter(state -> state.lacksPermit(nowMs) && query.usable(state))
            .sorted(
                Comparator.comparingLong((EndpointState s) -> expectedMs(s, nowMs))
                    .thenComparingDouble(state -> state.load().jobCount()))
            .limit(waiting)
            .toList();
    for (EndpointState state : limited) {
      int each = (waiting + limited.size() - 1) / limited.size();
      permits.require(state.endpoint().name(), each, MAX_PRIORITY - request.priority, nowMs);
    }
  }

  /** Withdraws the demands for endpoints that no request waits for any more. */
  void withdrawPermits(WaitingRequests queue) {
    for (String endpoint : permits.required()) {
      if (endpoints.targetsOf(endpoint).allMatch(target -> queue.waitingRequests(target) == 0)) {
        permits.withdraw(endpoint);
      }
    }
  }

  private long expectedMs(EndpointState state, long nowMs) {
    return permits.expectedMs(state.endpoint().name(), 0, nowMs);
  }

  /** Returns the endpoints that a request could be sent to under a permit, and when that may be. */
  List<PassedOverEndpoint> lackingPermits(OpenRequest request, long nowMs) {
    return endpoints.serving(request.facts.target()).stream()
        .filter(state -> state.lacksPermit(nowMs))
        .limit(MAX_PASSED_OVER)
        .map(s -> new PassedOverEndpoint(s.endpoint().name(), expectedMs(s, nowMs) - nowMs))
        .toList();
  }
}
