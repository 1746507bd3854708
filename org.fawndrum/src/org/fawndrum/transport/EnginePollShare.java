// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.fawndrum.coordination.membership.PeerFacts;
import org.fawndrum.coordination.membership.ZoneTasks;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.EndpointKind;

/**
 * Selects the engines that this host polls for their load. With few engines every host polls all of
 * them. With more, the engines of a zone are divided among its daemons, which exchange the results,
 * so that the number of polls per second does not grow with the fleet. Confined to one event loop,
 * except for {@link #ownEngines}.
 */
final class EnginePollShare {
  /** Maximum number of engines in a fleet for which every host polls all of them. */
  static final int MAX_ENGINES_POLLED_BY_ALL = 32;

  private static final int ENGINES_PER_POLL = 2;

  private final String self;
  private final String zone;
  private final Supplier<List<PeerFacts>> livingInZone;
  private int next;

  EnginePollShare(String self, String zone, Supplier<List<PeerFacts>> livingInZone) {
    this.self = self;
    this.zone = zone;
    this.livingInZone = livingInZone;
  }

  /** Returns the engines of the zone that are assigned to this host. */
  List<Endpoint> ownEngines(List<Endpoint> endpoints) {
    List<String> others =
        livingInZone.get().stream().map(facts -> facts.identity().host()).toList();
    return endpoints.stream()
        .filter(EnginePollShare::isEngine)
        .filter(endpoint -> endpoint.zone().equals(zone))
        .filter(endpoint -> ZoneTasks.isOwner(endpoint.name(), self, others))
        .toList();
  }

  private static boolean isEngine(Endpoint endpoint) {
    return endpoint.kind() == EndpointKind.MODEL;
  }

  /** Returns the engines to poll now, in rotation when the fleet is large. */
  List<Endpoint> enginesToPoll(List<Endpoint> endpoints) {
    List<Endpoint> engines = endpoints.stream().filter(EnginePollShare::isEngine).toList();
    if (engines.size() <= MAX_ENGINES_POLLED_BY_ALL) {
      return engines;
    }
    List<Endpoint> assigned = ownEngines(endpoints);
    List<Endpoint> toPoll = new ArrayList<>();
    for (int i = 0; i < Math.min(ENGINES_PER_POLL, assigned.size()); i++) {
      toPoll.add(assigned.get(Math.floorMod(next++, assigned.size())));
    }
    return toPoll;
  }
}
