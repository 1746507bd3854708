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
import java.util.Set;
import java.util.function.Predicate;
import org.fawndrum.state.CallerGroup;
import org.fawndrum.state.Column;

/**
 * The requests that wait for an endpoint: one first-in-first-out lane for each caller group, target
 * and length class. Confined to one thread.
 */
final class WaitingRequests {
  private static final long YIELD_AFTER_MS = 1_000;

  private final QueueOrder order;
  private final LengthMix lengths;
  private final Map<LaneKey, Deque<LiveRequest>> lanes = new HashMap<>();
  private final Map<RequestTarget, Long> waitingTokens = new HashMap<>();
  private int size;

  /** Names a lane. */
  private record LaneKey(CallerGroup group, RequestTarget target, int lengthClass) {}

  /** A lane with the place of its oldest request. */
  private record Place(LaneKey key, double place, long arrivedMs) {}

  private static final Comparator<Place> BY_PLACE =
      Comparator.comparingDouble(Place::place).thenComparingLong(Place::arrivedMs);

  WaitingRequests(QueueOrder order, LengthMix lengths) {
    this.order = order;
    this.lengths = lengths;
  }

  int size() {
    return size;
  }

  /** Returns the work that waits for a target, in tokens. */
  long waitingTokens(RequestTarget target) {
    return waitingTokens.getOrDefault(target, 0L);
  }

  /**
   * Returns the work that a new request would wait behind, in tokens: its group's own, blown up to
   * the part of the drain that the group's weight gives it, but never more than all that waits.
   */
  long tokensAhead(RequestFacts facts) {
    long all = waitingTokens(facts.target());
    if (all == 0) {
      return 0;
    }
    long own = 0;
    double ownWeight = 1;
    Map<CallerGroup, Long> weights = new HashMap<>();
    for (Map.Entry<LaneKey, Deque<LiveRequest>> lane : lanes.entrySet()) {
      if (!lane.getKey().target().equals(facts.target())) {
        continue;
      }
      long weight = lane.getValue().peek().row.number(Column.SHARE);
      weights.put(lane.getKey().group(), weight);
      if (lane.getKey().group().equals(facts.group())) {
        ownWeight = weight;
        for (LiveRequest request : lane.getValue()) {
          own += request.facts.workTokens();
        }
      }
    }
    double sum = weights.values().stream().mapToLong(Long::longValue).sum();
    return Math.min(all, (long) (own * sum / ownWeight));
  }

  void add(LiveRequest request) {
    LaneKey key = keyOf(request);
    Deque<LiveRequest> lane = lanes.computeIfAbsent(key, k -> new ArrayDeque<>());
    if (lane.isEmpty()) {
      order.backlogged(request.facts);
    }
    lane.add(request);
    request.lane = key;
    added(request, 1);
  }

  void remove(LiveRequest request) {
    LaneKey key = request.lane instanceof LaneKey lane ? lane : keyOf(request);
    Deque<LiveRequest> lane = lanes.get(key);
    if (lane != null && lane.remove(request)) {
      added(request, -1);
      dropIfEmpty(key, lane);
    }
  }

  private void added(LiveRequest request, int sign) {
    size += sign;
    long tokens = sign * request.facts.workTokens();
    waitingTokens.merge(request.facts.target(), tokens, Long::sum);
  }

  private LaneKey keyOf(LiveRequest request) {
    RequestFacts facts = request.facts;
    return new LaneKey(facts.group(), facts.target(), lengths.lengthClass(facts.promptTokens()));
  }

  private void dropIfEmpty(LaneKey key, Deque<LiveRequest> lane) {
    if (lane.isEmpty()) {
      lanes.remove(key);
    }
  }

  /**
   * Tells whether a request should use only what others leave: its group has used more than its
   * share, and somebody else's request has waited for a while.
   */
  boolean shouldYield(LiveRequest request, long nowMs) {
    boolean isShort = lengths.isShort(request.facts.promptTokens());
    if (isShort || !order.overShare(request.facts)) {
      return false;
    }
    for (Deque<LiveRequest> lane : lanes.values()) {
      LiveRequest oldest = lane.peek();
      boolean other = !oldest.facts.group().equals(request.facts.group());
      boolean waited = nowMs - oldest.facts.arrivedMs() > YIELD_AFTER_MS;
      if (other && waited && !order.overShare(oldest.facts)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Offers waiting requests in order until none is taken. A request that is not taken keeps its
   * lane's place; other lanes of the same target and length class are passed over too, because what
   * was refused to the first in order is not given to a later one.
   *
   * @param taker takes a request and returns whether it was sent
   */
  void dispatch(Predicate<LiveRequest> taker) {
    Set<LaneKey> blocked = new HashSet<>();
    boolean taken = true;
    while (taken && size > 0) {
      taken = false;
      for (Place place : places()) {
        LaneKey key = place.key();
        LaneKey barrier = new LaneKey(null, key.target(), key.lengthClass());
        if (blocked.contains(barrier)) {
          continue;
        }
        Deque<LiveRequest> lane = lanes.get(key);
        LiveRequest request = lane.peek();
        if (!taker.test(request)) {
          blocked.add(barrier);
          continue;
        }
        lane.remove();
        added(request, -1);
        dropIfEmpty(key, lane);
        order.dispatched(request.facts, request.row.number(Column.SHARE));
        taken = true;
        break;
      }
    }
  }

  private List<Place> places() {
    List<Place> places = new ArrayList<>(lanes.size());
    for (Map.Entry<LaneKey, Deque<LiveRequest>> lane : lanes.entrySet()) {
      LiveRequest oldest = lane.getValue().peek();
      long weight = oldest.row.number(Column.SHARE);
      double place = order.place(oldest.facts, weight, lane.getKey().lengthClass() == 0);
      places.add(new Place(lane.getKey(), place, oldest.facts.arrivedMs()));
    }
    places.sort(BY_PLACE);
    return places;
  }
}
