// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * The requests without a final answer. Also gives requests up. Confined to the coordinator's
 * thread; times are those of the host's clock, in milliseconds.
 */
final class OpenRequests {
  private final Map<String, OpenRequest> byId = new HashMap<>();
  private final WaitingRequests waitingRequests;
  private final GroupUsages usages;
  private final SuspectedRequests suspectedRequests;
  private final AttemptFailures attemptFailures;
  private final DecisionRecorder decisionRecorder;
  private final List<Action> actions;

  OpenRequests(
      WaitingRequests waitingRequests,
      GroupUsages usages,
      SuspectedRequests suspectedRequests,
      AttemptFailures attemptFailures,
      DecisionRecorder decisionRecorder,
      List<Action> actions) {
    this.waitingRequests = waitingRequests;
    this.usages = usages;
    this.suspectedRequests = suspectedRequests;
    this.attemptFailures = attemptFailures;
    this.decisionRecorder = decisionRecorder;
    this.actions = actions;
  }

  void add(OpenRequest request) {
    byId.put(request.facts.requestId(), request);
  }

  /** Returns a request, or null if it already has its final answer. */
  OpenRequest get(String requestId) {
    return byId.get(requestId);
  }

  boolean contains(String requestId) {
    return byId.containsKey(requestId);
  }

  int size() {
    return byId.size();
  }

  /** Returns a copy of the list, so that requests can be removed during iteration. */
  List<OpenRequest> all() {
    return List.copyOf(byId.values());
  }

  /**
   * Gives up the waiting requests that can be refused now.
   *
   * @param refusalOf returns the refusal, or null for a request that continues to wait
   */
  void giveUpWaiting(Function<OpenRequest, Refusal> refusalOf, Reason reason, long nowMs) {
    for (OpenRequest request : all()) {
      Refusal refusal = request.waiting ? refusalOf.apply(request) : null;
      if (refusal != null) {
        giveUp(request, refusal, reason, nowMs);
      }
    }
  }

  /** Returns the waiting requests, the most urgent first, then in the order of their arrival. */
  List<OpenRequest> waitingInOrder() {
    return byId.values().stream()
        .filter(request -> request.waiting)
        .sorted(
            Comparator.comparingInt((OpenRequest request) -> -request.priority)
                .thenComparingLong(request -> request.facts.arrivedMs()))
        .toList();
  }

  /** Removes a request from the queue, or abandons its last attempt. */
  void abandonLastAttempt(OpenRequest request, long nowMs) {
    if (request.waiting) {
      waitingRequests.remove(request);
      usages.setWaiting(request, false);
    }
    OpenRequest.Attempt last = request.lastAttempt();
    if (last != null && !last.state.ended()) {
      attemptFailures.abandon(last, nowMs);
    }
  }

  /** Ends a request with a refusal. */
  void giveUp(OpenRequest request, Refusal refusal, Reason reason, long nowMs) {
    abandonLastAttempt(request, nowMs);
    decisionRecorder.refused(request.facts, refusal, reason, nowMs);
    actions.add(new Action.Refuse(request.facts.requestId(), refusal));
    remove(request);
  }

  /** Removes a request that has its final answer. */
  void remove(OpenRequest request) {
    suspectedRequests.requestRemoved(request);
    byId.remove(request.facts.requestId());
    usages.of(request).inFlight--;
  }
}
