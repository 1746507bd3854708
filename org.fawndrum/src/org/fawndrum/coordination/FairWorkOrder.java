// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.fawndrum.state.CallerGroup;

/**
 * Fair queueing by work: each group's work in tokens, divided by its weight, moves its place back.
 * The present moves on by all work over the weights of the groups that lately had any, so that a
 * group ahead of it has used more than its share. A group that was idle starts at the present and
 * cannot save up. Short prompts get a bounded head start. Confined to one thread.
 */
public final class FairWorkOrder implements QueueOrder {
  /** How many dispatches back a group counts as one that lately had work. */
  private static final int RECENT = 256;

  /** How far ahead of the present a group is over its share, in tokens for a weight of 1. */
  private static final double OVER_TOKENS = 400_000;

  private final double shortCredit;
  private final Map<CallerGroup, Double> starts = new HashMap<>();
  private final Deque<CallerGroup> recent = new ArrayDeque<>();
  private final Map<CallerGroup, Integer> recentCounts = new HashMap<>();
  private final Map<CallerGroup, Long> weights = new HashMap<>();
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
    double start = Math.max(virtualTime, starts.getOrDefault(request.group(), virtualTime));
    starts.put(request.group(), start + request.workTokens() / (double) weight);
    remember(request.group(), weight);
    virtualTime += request.workTokens() / (double) recentWeight();
  }

  private void remember(CallerGroup group, long weight) {
    recent.addLast(group);
    recentCounts.merge(group, 1, Integer::sum);
    weights.put(group, weight);
    if (recent.size() > RECENT) {
      CallerGroup old = recent.removeFirst();
      if (recentCounts.merge(old, -1, Integer::sum) == 0) {
        recentCounts.remove(old);
      }
    }
  }

  private long recentWeight() {
    long sum = 0;
    for (CallerGroup group : recentCounts.keySet()) {
      sum += weights.get(group);
    }
    return Math.max(1, sum);
  }

  @Override
  public boolean overShare(RequestFacts request) {
    return starts.getOrDefault(request.group(), virtualTime) - virtualTime > OVER_TOKENS;
  }

  @Override
  public void backlogged(RequestFacts first) {
    starts.merge(first.group(), virtualTime, Math::max);
  }
}
