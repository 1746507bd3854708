// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.fawndrum.state.CallerGroup;

/**
 * Weighted fair queueing. The start tag of a group advances by its work in tokens divided by its
 * weight. The virtual time advances by all work divided by the total weight of recently active
 * groups, so that a group whose tag is ahead of it has used more than its share. An idle group
 * restarts at the virtual time and cannot accumulate credit. Short prompts get a bounded credit.
 * Confined to one thread.
 */
public final class WeightedFairOrder implements QueueOrder {
  /** Number of latest dispatches that determine which groups count as recently active. */
  private static final int RECENT_DISPATCHES = 256;

  /**
   * Lead over the virtual time above which a group is over its share, in tokens for a weight of 1.
   */
  private static final double OVER_SHARE_TOKENS = 400_000;

  private final double shortCredit;
  private final Map<CallerGroup, Double> startTags = new HashMap<>();
  private final Deque<CallerGroup> recent = new ArrayDeque<>();
  private final Map<CallerGroup, Integer> recentCounts = new HashMap<>();
  private final Map<CallerGroup, Long> weights = new HashMap<>();
  private double virtualTime;

  /**
   * Creates the order.
   *
   * @param shortCredit the credit of short prompts, in tokens for a group of weight 1
   */
  public WeightedFairOrder(double shortCredit) {
    this.shortCredit = shortCredit;
  }

  @Override
  public double sortKey(RequestFacts request, long weight, boolean isShort) {
    double startTag = startTags.getOrDefault(request.group(), virtualTime);
    return isShort ? startTag - shortCredit / weight : startTag;
  }

  @Override
  public void dispatched(RequestFacts request, long weight) {
    double startTag = Math.max(virtualTime, startTags.getOrDefault(request.group(), virtualTime));
    startTags.put(request.group(), startTag + request.workTokens() / (double) weight);
    recordDispatch(request.group(), weight);
    virtualTime += request.workTokens() / (double) recentWeight();
  }

  private void recordDispatch(CallerGroup group, long weight) {
    recent.addLast(group);
    recentCounts.merge(group, 1, Integer::sum);
    weights.put(group, weight);
    if (recent.size() > RECENT_DISPATCHES) {
      CallerGroup oldest = recent.removeFirst();
      if (recentCounts.merge(oldest, -1, Integer::sum) == 0) {
        recentCounts.remove(oldest);
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
  public boolean isOverShare(RequestFacts request) {
    return startTags.getOrDefault(request.group(), virtualTime) - virtualTime > OVER_SHARE_TOKENS;
  }

  @Override
  public void backlogged(RequestFacts first) {
    startTags.merge(first.group(), virtualTime, Math::max);
  }
}
