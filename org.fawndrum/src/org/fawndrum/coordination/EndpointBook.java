// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.HostIdentity;

/**
 * The endpoints that may get new work, by what they serve, and those that only finish what they
 * have. Confined to one thread.
 */
final class EndpointBook {
  private final EndpointRests rests;
  private final Map<HostIdentity, EndpointState> states = new HashMap<>();
  private final Map<RequestTarget, List<EndpointState>> open = new HashMap<>();
  private final Map<RequestTarget, Long> largest = new HashMap<>();

  EndpointBook(EndpointRests rests) {
    this.rests = rests;
  }

  /**
   * Takes over the endpoints that may get new work. Endpoints not named get none any more; what
   * they have in flight goes on.
   */
  void offer(Collection<Endpoint> endpoints) {
    Map<HostIdentity, EndpointState> kept = new HashMap<>();
    open.clear();
    largest.clear();
    for (Endpoint endpoint : endpoints) {
      EndpointState state = states.get(endpoint.identity());
      if (state == null) {
        state = new EndpointState(endpoint, endpoints.size(), rests);
      } else {
        state.describe(endpoint);
      }
      kept.put(endpoint.identity(), state);
      for (String name : endpoint.serves()) {
        RequestTarget target = new RequestTarget(endpoint.kind(), name);
        largest.merge(target, endpoint.memoryTokens(), Math::max);
        open.computeIfAbsent(target, key -> new ArrayList<>()).add(state);
      }
    }
    for (EndpointState state : states.values()) {
      if (state.inFlight() > 0) {
        kept.putIfAbsent(state.endpoint().identity(), state);
      }
    }
    states.clear();
    states.putAll(kept);
  }

  /** Returns the endpoints that may get new work for a target; empty when there are none. */
  List<EndpointState> serving(RequestTarget target) {
    return open.getOrDefault(target, List.of());
  }

  /** Tells whether a start of an endpoint may get new work. */
  boolean isOpen(HostIdentity identity) {
    EndpointState state = states.get(identity);
    return state != null && open.values().stream().anyMatch(some -> some.contains(state));
  }

  /** Returns the memory that one request could get at a target at most, in tokens. */
  long mostMemory(RequestTarget target) {
    long largestMemory = largest.getOrDefault(target, 0L);
    boolean several =
        serving(target).stream().anyMatch(state -> state.endpoint().engine().isPresent());
    return several ? largestMemory * serving(target).size() : largestMemory;
  }

  /** Takes note that this host saw an endpoint end. */
  void ended(HostIdentity endpoint, long atMs) {
    rests.ended(endpoint, atMs);
  }

  /** Does something with the state of an endpoint incarnation, if it is known. */
  void ifKnown(HostIdentity identity, Consumer<EndpointState> step) {
    EndpointState state = states.get(identity);
    if (state != null) {
      step.accept(state);
    }
  }

  /** Returns the state of an endpoint incarnation, or null when it is not known. */
  EndpointState state(HostIdentity identity) {
    return states.get(identity);
  }
}
