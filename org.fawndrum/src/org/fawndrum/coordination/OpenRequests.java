// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * The requests that have no final answer yet, and how they are given up. Confined to the
 * coordinator's thread; times are those of the host's clock, in milliseconds.
 */
final class OpenRequests {
  private final Map<String, LiveRequest> byId = new HashMap<>();
  private final WaitingRequests waiting;
  private final GroupUsages usages;
  private final SuspectRequests suspects;
  private final AttemptEnds ends;
  private final Explainer explainer;
  private final List<Action> out;

  OpenRequests(
      WaitingRequests waiting,
      GroupUsages usages,
      SuspectRequests suspects,
      AttemptEnds ends,
      Explainer explainer,
      List<Action> out) {
    this.waiting = waiting;
    this.usages = usages;
    this.suspects = suspects;
    this.ends = ends;
    this.explainer = explainer;
    this.out = out;
  }

  void add(LiveRequest request) {
    byId.put(request.facts.requestId(), request);
  }

  /** Returns a request, or null when it has its final answer. */
  LiveRequest get(String requestId) {
    return byId.get(requestId);
  }

  boolean contains(String requestId) {
    return byId.containsKey(requestId);
  }

  int size() {
    return byId.size();
  }

  /** Returns all of them as they are now; they may be ended while one goes through the list. */
  List<LiveRequest> all() {
    return List.copyOf(byId.values());
  }

  /**
   * Gives up the waiting requests for which there is a final answer now.
   *
   * @param end returns that answer, or null for a request that waits on
   */
  void giveUpWaiting(Function<LiveRequest, Refusal> end, Reason why, long nowMs) {
    for (LiveRequest request : all()) {
      Refusal refusal = request.waiting ? end.apply(request) : null;
      if (refusal != null) {
        giveUp(request, refusal, why, nowMs);
      }
    }
  }

  /** Takes a request out of the queue, or ends its last attempt. */
  void abandonLast(LiveRequest request, long nowMs) {
    if (request.waiting) {
      waiting.remove(request);
      usages.waits(request, false);
    }
    LiveRequest.Attempt last = request.last();
    if (last != null && !last.state.ended()) {
      ends.abandon(last, nowMs);
    }
  }

  /** Ends a request with its final answer, which no endpoint gave. */
  void giveUp(LiveRequest request, Refusal refusal, Reason why, long nowMs) {
    abandonLast(request, nowMs);
    explainer.refused(request.facts, refusal, why, nowMs);
    out.add(new Action.Refuse(request.facts.requestId(), refusal));
    end(request);
  }

  /** Forgets a request that has its final answer. */
  void end(LiveRequest request) {
    suspects.end(request);
    byId.remove(request.facts.requestId());
    usages.of(request).inFlight--;
  }
}
