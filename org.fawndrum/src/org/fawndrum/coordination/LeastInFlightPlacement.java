// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.List;
import java.util.Optional;

/** The second baseline: the endpoint with the fewest requests of this host. */
public final class LeastInFlightPlacement implements Placement {
  private int next;

  @Override
  public Optional<Choice> choose(Query query) {
    List<EndpointState> candidates = query.candidates();
    EndpointState best = null;
    // Ties go round, so that an idle fleet is not served by its first endpoint alone.
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
