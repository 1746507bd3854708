// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.List;
import java.util.Optional;

/**
 * Chooses endpoints in rotation, regardless of their load. Simple baseline. Confined to one thread.
 */
public final class RoundRobinPlacement implements Placement {
  private int next;

  @Override
  public Optional<Choice> choose(Query query) {
    List<EndpointState> candidates = query.candidates();
    for (int tried = 0; tried < candidates.size(); tried++) {
      EndpointState state = candidates.get(Math.floorMod(next++, candidates.size()));
      if (query.usable(state)) {
        return Optional.of(new Choice(state, Reason.NEXT_IN_TURN, List.of()));
      }
    }
    return Optional.empty();
  }
}
