// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.List;
import java.util.Optional;

/** Chooses the endpoint with the fewest requests of this host in flight. Baseline. */
public final class LeastInFlightPlacement implements Placement {
  private int next;

  @Override
  public Optional<Choice> choose(Query query) {
    List<EndpointState> candidates = query.candidates();
    EndpointState best = null;
    // Rotates the start so that ties are not always resolved to the same endpoint.
    next++;
    for (int i = 0; i < candidates.size(); i++) {
      EndpointState state = candidates.get(Math.floorMod(next + i, candidates.size()));
      if (query.usable(state) && (best == null || state.inFlight() < best.inFlight())) {
        best = state;
      }
    }
    return Optional.ofNullable(best)
        .map(state -> new Choice(state, Reason.LEAST_IN_FLIGHT, List.of()));
  }
}
