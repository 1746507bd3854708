// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.fawndrum.coordination.membership.PeerFacts;
import org.fawndrum.coordination.membership.ZoneDuties;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.EndpointKind;

/**
 * Which engines this host asks for their load. In a small fleet it asks all of them. In a large one
 * the daemons of a zone share its engines out and tell each other, and the number of questions a
 * second stays the same however large the fleet is. Confined to one event loop, but for {@link
 * #mine}.
 */
final class WatchShare {
  /** The most engines of a fleet of which every host asks all. */
  static final int SMALL_FLEET = 32;

  private static final int ASKED_AT_ONCE = 2;

  private final String self;
  private final String zone;
  private final Supplier<List<PeerFacts>> livingInZone;
  private int next;

  WatchShare(String self, String zone, Supplier<List<PeerFacts>> livingInZone) {
    this.self = self;
    this.zone = zone;
    this.livingInZone = livingInZone;
  }

  /** Returns the engines of the zone that are this host's to watch. */
  List<Endpoint> mine(List<Endpoint> endpoints) {
    List<String> others =
        livingInZone.get().stream().map(facts -> facts.identity().host()).toList();
    return endpoints.stream()
        .filter(WatchShare::isEngine)
        .filter(endpoint -> endpoint.zone().equals(zone))
        .filter(endpoint -> ZoneDuties.mine(endpoint.name(), self, others))
        .toList();
  }

  private static boolean isEngine(Endpoint endpoint) {
    return endpoint.kind() == EndpointKind.MODEL;
  }

  /** Returns the engines to ask now. */
  List<Endpoint> due(List<Endpoint> endpoints) {
    List<Endpoint> engines = endpoints.stream().filter(WatchShare::isEngine).toList();
    if (engines.size() <= SMALL_FLEET) {
      return engines;
    }
    List<Endpoint> watched = mine(endpoints);
    List<Endpoint> due = new ArrayList<>();
    for (int i = 0; i < Math.min(ASKED_AT_ONCE, watched.size()); i++) {
      due.add(watched.get(Math.floorMod(next++, watched.size())));
    }
    return due;
  }
}
