// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.fawndrum.coordination.limit.EndpointPermits;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.HostIdentity;

/**
 * Tracks the endpoints eligible for new work, by target, and those that only finish work in flight.
 * Confined to one thread.
 */
final class EndpointRegistry {
  private final RequestedBackoffs requestedBackoffs;
  private final EndpointPermits permits;
  private final DrainedZones drainedZones;
  private Collection<Endpoint> listed = List.of();
  private final Map<HostIdentity, EndpointState> states = new HashMap<>();
  private final Map<RequestTarget, List<EndpointState>> eligibleByTarget = new HashMap<>();
  private final Map<RequestTarget, Long> maxMemoryByTarget = new HashMap<>();

  /** The number of endpoints by target, with those in drained zones. */
  private final Map<RequestTarget, Integer> countByTarget = new HashMap<>();

  EndpointRegistry(
      RequestedBackoffs requestedBackoffs, EndpointPermits permits, DrainedZones drainedZones) {
    this.requestedBackoffs = requestedBackoffs;
    this.permits = permits;
    this.drainedZones = drainedZones;
  }

  /**
   * Replaces the set of endpoints eligible for new work unless their zone is drained. Other
   * endpoints receive no new work, but what they have in flight continues.
   */
  void update(Collection<Endpoint> endpoints) {
    listed = List.copyOf(endpoints);
    Map<HostIdentity, EndpointState> updated = new HashMap<>();
    eligibleByTarget.clear();
    maxMemoryByTarget.clear();
    countByTarget.clear();
    for (Endpoint endpoint : endpoints) {
      EndpointState state = states.get(endpoint.identity());
      if (state == null) {
        state = new EndpointState(endpoint, endpoints.size(), requestedBackoffs, permits);
      } else {
        state.updateDescription(endpoint);
      }
      updated.put(endpoint.identity(), state);
      for (String name : endpoint.serves()) {
        RequestTarget target = new RequestTarget(endpoint.kind(), name);
        maxMemoryByTarget.merge(target, endpoint.memoryTokens(), Math::max);
        countByTarget.merge(target, 1, Integer::sum);
        if (!drainedZones.contains(endpoint.zone())) {
          eligibleByTarget.computeIfAbsent(target, key -> new ArrayList<>()).add(state);
        }
      }
    }
    for (EndpointState state : states.values()) {
      if (state.inFlight() > 0) {
        updated.putIfAbsent(state.endpoint().identity(), state);
      }
    }
    states.clear();
    states.putAll(updated);
  }

  /** Applies a change of the drained zones; the known work at their endpoints is kept. */
  void zonesChanged() {
    update(listed);
  }

  /** Whether all endpoints of a target are in drained zones. */
  boolean isDrained(RequestTarget target) {
    return serving(target).isEmpty() && countByTarget.containsKey(target);
  }

  /** Returns the endpoints eligible for new work of a target; empty if there are none. */
  List<EndpointState> serving(RequestTarget target) {
    return eligibleByTarget.getOrDefault(target, List.of());
  }

  /** Returns the targets that an endpoint serves. */
  Stream<RequestTarget> targetsOf(String endpoint) {
    return eligibleByTarget.entrySet().stream()
        .filter(e -> e.getValue().stream().anyMatch(s -> s.endpoint().name().equals(endpoint)))
        .map(Map.Entry::getKey);
  }

  /** Whether an endpoint incarnation is eligible for new work, or would be but for its zone. */
  boolean isInService(HostIdentity identity) {
    return listed.stream().anyMatch(endpoint -> endpoint.identity().equals(identity));
  }

  /**
   * Returns the maximum memory that one request can get at a target while no zone is drained, in
   * tokens. Several engines together can hold one prompt if they have engine profiles.
   */
  long maxRequestMemory(RequestTarget target) {
    long largestMemory = maxMemoryByTarget.getOrDefault(target, 0L);
    boolean several =
        serving(target).stream().anyMatch(state -> state.endpoint().engine().isPresent());
    return several ? largestMemory * countByTarget.getOrDefault(target, 0) : largestMemory;
  }

  /** Records that this host saw an endpoint terminate. */
  void terminated(HostIdentity endpoint, long atMs) {
    requestedBackoffs.terminated(endpoint, atMs);
  }

  /** Runs an action on the state of an endpoint incarnation, if it is registered. */
  void ifPresent(HostIdentity identity, Consumer<EndpointState> step) {
    EndpointState state = states.get(identity);
    if (state != null) {
      step.accept(state);
    }
  }

  /** Returns the state of an endpoint incarnation, or null if it is not registered. */
  EndpointState state(HostIdentity identity) {
    return states.get(identity);
  }
}
