// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Predicate;
import org.fawndrum.state.CallerGroup;
import org.fawndrum.state.Column;

/**
 * The queue of requests that wait for an endpoint: one FIFO lane for each caller group, target and
 * length class. Confined to one thread.
 */
final class WaitingRequests {
  private static final long YIELD_AFTER_MS = 1_000;

  private final QueueOrder order;
  private final PromptLengthClassifier lengthClassifier;
  private final Map<LaneKey, Deque<OpenRequest>> lanes = new HashMap<>();
  private final Map<RequestTarget, Long> waitingTokens = new HashMap<>();
  private final Map<RequestTarget, Integer> waitingRequests = new HashMap<>();
  private int size;

  /** Identifies a lane. */
  private record LaneKey(CallerGroup group, RequestTarget target, int lengthClass) {
    // Explicit, because the generated ones build their code at run time, at each start of a daemon.
    @Override
    public boolean equals(Object object) {
      return object instanceof LaneKey other
          && lengthClass == other.lengthClass
          && Objects.equals(group, other.group)
          && target.equals(other.target);
    }

    @Override
    public int hashCode() {
      return 31 * (31 * Objects.hashCode(group) + target.hashCode()) + lengthClass;
    }
  }

  /** A lane with the sort key of its oldest request. */
  private record LanePosition(LaneKey key, double sortKey, long arrivedMs) {}

  private static final Comparator<LanePosition> BY_SORT_KEY =
      Comparator.comparingDouble(LanePosition::sortKey).thenComparingLong(LanePosition::arrivedMs);

  WaitingRequests(QueueOrder order, PromptLengthClassifier lengthClassifier) {
    this.order = order;
    this.lengthClassifier = lengthClassifier;
  }

  int size() {
    return size;
  }

  /** Returns the work waiting for a target, in tokens. */
  long waitingTokens(RequestTarget target) {
    return waitingTokens.getOrDefault(target, 0L);
  }

  /** Returns the number of requests waiting for a target. */
  int waitingRequests(RequestTarget target) {
    return waitingRequests.getOrDefault(target, 0);
  }

  /**
   * Returns the work queued ahead of a new request, in tokens: that of its own group divided by the
   * group's share of the target's dispatch rate, but at most all waiting work.
   */
  long tokensAhead(RequestFacts facts) {
    long totalTokens = waitingTokens(facts.target());
    if (totalTokens == 0) {
      return 0;
    }
    long ownTokens = 0;
    double ownWeight = 1;
    Map<CallerGroup, Long> weights = new HashMap<>();
    for (Map.Entry<LaneKey, Deque<OpenRequest>> lane : lanes.entrySet()) {
      if (!lane.getKey().target().equals(facts.target())) {
        continue;
      }
      long weight = lane.getValue().peek().row.number(Column.SHARE);
      weights.put(lane.getKey().group(), weight);
      if (lane.getKey().group().equals(facts.group())) {
        ownWeight = weight;
        for (OpenRequest request : lane.getValue()) {
          ownTokens += request.facts.workTokens();
        }
      }
    }
    double sum = weights.values().stream().mapToLong(Long::longValue).sum();
    return Math.min(totalTokens, (long) (ownTokens * sum / ownWeight));
  }

  void add(OpenRequest request) {
    LaneKey key = keyOf(request);
    Deque<OpenRequest> lane = lanes.computeIfAbsent(key, k -> new ArrayDeque<>());
    if (lane.isEmpty()) {
      order.backlogged(request.facts);
    }
    lane.add(request);
    request.lane = key;
    updateCounts(request, 1);
  }

  void remove(OpenRequest request) {
    LaneKey key = request.lane instanceof LaneKey lane ? lane : keyOf(request);
    Deque<OpenRequest> lane = lanes.get(key);
    if (lane != null && lane.remove(request)) {
      updateCounts(request, -1);
      dropIfEmpty(key, lane);
    }
  }

  private void updateCounts(OpenRequest request, int sign) {
    size += sign;
    long tokens = sign * request.facts.workTokens();
    waitingTokens.merge(request.facts.target(), tokens, Long::sum);
    waitingRequests.merge(request.facts.target(), sign, Integer::sum);
  }

  private LaneKey keyOf(OpenRequest request) {
    RequestFacts facts = request.facts;
    return new LaneKey(
        facts.group(), facts.target(), lengthClassifier.lengthClass(facts.promptTokens()));
  }

  private void dropIfEmpty(LaneKey key, Deque<OpenRequest> lane) {
    if (lane.isEmpty()) {
      lanes.remove(key);
    }
  }

  /**
   * Whether a request should use only idle capacity: its group has used more than its share, and a
   * request of another group that has not has waited for over a second.
   */
  boolean shouldYield(OpenRequest request, long nowMs) {
    boolean isShort = lengthClassifier.isShort(request.facts.promptTokens());
    if (isShort || !order.isOverShare(request.facts)) {
      return false;
    }
    for (Deque<OpenRequest> lane : lanes.values()) {
      OpenRequest oldest = lane.peek();
      boolean other = !oldest.facts.group().equals(request.facts.group());
      boolean waited = nowMs - oldest.facts.arrivedMs() > YIELD_AFTER_MS;
      if (other && waited && !order.isOverShare(oldest.facts)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Offers waiting requests in order until none is accepted. A request that is not accepted keeps
   * its place. Other lanes of the same target and length class are then skipped too, so that a
   * later request cannot overtake it.
   *
   * @param taker accepts a request and returns whether it was sent
   */
  void dispatch(Predicate<OpenRequest> taker) {
    if (size == 0) {
      return;
    }
    Set<LaneKey> blocked = new HashSet<>();
    boolean taken = true;
    while (taken && size > 0) {
      taken = false;
      for (LanePosition position : orderedLanes()) {
        LaneKey key = position.key();
        LaneKey barrier = new LaneKey(null, key.target(), key.lengthClass());
        if (blocked.contains(barrier)) {
          continue;
        }
        Deque<OpenRequest> lane = lanes.get(key);
        OpenRequest request = lane.peek();
        if (!taker.test(request)) {
          blocked.add(barrier);
          continue;
        }
        lane.remove();
        updateCounts(request, -1);
        dropIfEmpty(key, lane);
        order.dispatched(request.facts, request.row.number(Column.SHARE));
        taken = true;
        break;
      }
    }
  }

  private List<LanePosition> orderedLanes() {
    List<LanePosition> positions = new ArrayList<>(lanes.size());
    for (Map.Entry<LaneKey, Deque<OpenRequest>> lane : lanes.entrySet()) {
      OpenRequest oldest = lane.getValue().peek();
      long weight = oldest.row.number(Column.SHARE);
      double position = order.sortKey(oldest.facts, weight, lane.getKey().lengthClass() == 0);
      positions.add(new LanePosition(lane.getKey(), position, oldest.facts.arrivedMs()));
    }
    positions.sort(BY_SORT_KEY);
    return positions;
  }
}
