// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.engine;

import java.util.List;
import org.fawndrum.coordination.Placement;
import org.fawndrum.coordination.RequestFacts;

/**
 * Decides whether a prompt waits on its host until a stream ends at an engine whose slots are all
 * taken. An engine with free slots may first have to complete the segment of a long prompt; its
 * first tokens then come at the end of the same iteration, whether they are sent now or later, so
 * that the wait costs little. Stateless.
 */
final class SlotWait {
  private final PlacementCosts costs;

  SlotWait(PlacementCosts costs) {
    this.costs = costs;
  }

  /**
   * Returns whether the request waits: it would be late at the engines that could take it, and in
   * time at one that lacks only a slot. Once it has waited so long that it would be late there too,
   * it does not wait any more.
   *
   * @param cost the cost of sending it now
   */
  boolean shouldWait(Placement.Query query, List<EngineCandidate> candidates, double cost) {
    double enoughCost = cost - costs.lateCost(query.facts()) / 2;
    if (enoughCost <= 0) {
      return false;
    }
    return candidates.stream()
        .filter(candidate -> lacksOnlySlot(query.facts(), candidate))
        .anyMatch(candidate -> costWithSlot(query, candidate) < enoughCost);
  }

  private static boolean lacksOnlySlot(RequestFacts facts, EngineCandidate candidate) {
    return !candidate.canDecode() && candidate.freeTokens() >= facts.workTokens();
  }

  /** Returns the cost of sending the request to an engine if a slot were free there. */
  private double costWithSlot(Placement.Query query, EngineCandidate candidate) {
    RequestFacts facts = query.facts();
    EngineForecast forecast = candidate.forecast();
    EngineForecast.PrefillWork prompt = candidate.segment(facts.promptTokens(), 1);
    double firstTokenMs = forecast.singleEngineMs(prompt) + candidate.zonePenaltyMs();
    long waitedMs = query.nowMs() - facts.arrivedMs();
    return costs.latenessCost(facts, waitedMs + firstTokenMs)
        + costs.decodeHarm(forecast, prompt)
        + costs.prefillHarm(forecast, prompt.ms(), 1, false)
        + costs.orderCost(facts, candidate);
  }
}
