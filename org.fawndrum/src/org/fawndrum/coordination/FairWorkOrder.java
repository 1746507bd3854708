// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.HashMap;
import java.util.Map;
import org.fawndrum.state.CallerGroup;

/**
 * Start-time fair queueing: each group's work in tokens, divided by its weight, moves its place
 * back. A group that was idle starts at the present and cannot save up. Short prompts get a bounded
 * head start, so that they go first until their group has used more than its share. Confined to one
 * thread.
 */
public final class FairWorkOrder implements QueueOrder {
  private final double shortCredit;
  private final Map<CallerGroup, Double> starts = new HashMap<>();
  private double virtualTime;

  /**
   * Makes the order.
   *
   * @param shortCredit the head start of short prompts, in tokens for a group of weight 1
   */
  public FairWorkOrder(double shortCredit) {
    this.shortCredit = shortCredit;
  }

  @Override
  public double place(RequestFacts request, long weight, boolean isShort) {
    double start = starts.getOrDefault(request.group(), virtualTime);
    return isShort ? start - shortCredit / weight : start;
  }

  @Override
  public void dispatched(RequestFacts request, long weight) {
    double start = starts.getOrDefault(request.group(), virtualTime);
    virtualTime = Math.max(virtualTime, start);
    starts.put(request.group(), start + request.workTokens() / (double) weight);
  }

  @Override
  public void backlogged(RequestFacts first) {
    starts.merge(first.group(), virtualTime, Math::max);
  }
}
