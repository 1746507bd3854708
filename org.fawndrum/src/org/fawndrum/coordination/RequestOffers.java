// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Offers waiting requests to the placement, and gives up those that no endpoint can take in time.
 * Confined to the coordinator's thread; times are those of the host's clock, in milliseconds.
 */
final class RequestOffers {
  /** Interval at which a request that found no endpoint is offered again, in milliseconds. */
  private static final long OFFER_INTERVAL_MS = 10;

  private final OpenRequests requests;
  private final WaitingRequests queue;
  private final GroupUsages usages;
  private final SuspectedRequests suspected;
  private final Admission admission;
  private final EndpointSelector selector;
  private final AttemptDispatcher dispatcher;
  private final DecisionRecorder recorder;

  RequestOffers(
      OpenRequests requests,
      WaitingRequests queue,
      GroupUsages usages,
      SuspectedRequests suspected,
      Admission admission,
      EndpointSelector selector,
      AttemptDispatcher dispatcher,
      DecisionRecorder recorder) {
    this.requests = requests;
    this.queue = queue;
    this.usages = usages;
    this.suspected = suspected;
    this.admission = admission;
    this.selector = selector;
    this.dispatcher = dispatcher;
    this.recorder = recorder;
  }

  /** Queues a request unless it has to be held back as a suspected one. */
  void enqueue(OpenRequest request, long nowMs) {
    if (!suspected.holdIfRequired(request, nowMs)) {
      offer(request, nowMs);
    }
  }

  /** Queues a request, or refuses it if no endpoint can take it in time. */
  void offer(OpenRequest request, long nowMs) {
    Refusal unavailable = checkAvailability(request, nowMs);
    if (unavailable != null) {
      requests.giveUp(request, unavailable, reasonOf(unavailable), nowMs);
      return;
    }
    request.nextOfferMs = 0;
    queue.add(request);
    usages.setWaiting(request, true);
  }

  private static Reason reasonOf(Refusal refusal) {
    return switch (refusal.kind()) {
      case ENDPOINTS_LIMITED -> Reason.ENDPOINTS_LIMITED;
      case ZONES_DRAINED -> Reason.ZONES_DRAINED;
      default -> Reason.NO_ENDPOINT;
    };
  }

  /**
   * Returns the refusal of a request that does not wait yet, or null if an endpoint may take it.
   */
  Refusal checkAvailability(OpenRequest request, long nowMs) {
    int before = queue.waitingRequests(request.facts.target());
    return admission.checkAvailability(request, before, nowMs);
  }

  /** Gives up waiting requests that no endpoint can take in time any more. */
  void giveUpUnavailable(long nowMs) {
    Map<RequestTarget, Integer> remaining = new HashMap<>();
    for (OpenRequest request : requests.waitingInOrder()) {
      int before = remaining.getOrDefault(request.facts.target(), 0);
      Refusal refusal = admission.checkAvailability(request, before, nowMs);
      if (refusal == null) {
        remaining.merge(request.facts.target(), 1, Integer::sum);
      } else {
        requests.giveUp(request, refusal, reasonOf(refusal), nowMs);
      }
    }
  }

  /**
   * Gives up a request whose deadline has passed, or that waits and cannot finish in time. Returns
   * whether it did.
   *
   * @param early whether requests are refused before their deadline
   */
  boolean giveUpIfLate(OpenRequest request, boolean early, long nowMs) {
    boolean passed = nowMs >= request.deadlineMs;
    if (!passed && !(request.waiting && early)) {
      return false;
    }
    RefusalKind kind = passed ? RefusalKind.DEADLINE_PASSED : RefusalKind.CANNOT_FINISH;
    requests.giveUp(request, admission.lateRefusal(request, kind, nowMs), Reason.DEADLINE, nowMs);
    return true;
  }

  /** Sends the waiting requests that can be sent now. */
  void dispatch(long nowMs) {
    queue.dispatch(request -> tryDispatch(request, nowMs));
    selector.withdrawPermits(queue);
  }

  private boolean tryDispatch(OpenRequest request, long nowMs) {
    if (nowMs < request.nextOfferMs) {
      return false;
    }
    if (suspected.recheckBeforeDispatch(request, nowMs)) {
      // It leaves the queue and is queued again once it holds its execution lease.
      usages.setWaiting(request, false);
      return true;
    }
    request.nextOfferMs = nowMs + OFFER_INTERVAL_MS;
    int priority = queue.shouldYield(request, nowMs) ? 0 : request.priority;
    int waiting = queue.waitingRequests(request.facts.target());
    Optional<Placement.Choice> chosen = selector.choose(request, priority, waiting, nowMs);
    if (chosen.isEmpty()) {
      recorder.waiting(request, selector.lackingPermits(request, nowMs), nowMs);
      return false;
    }
    usages.setWaiting(request, false);
    dispatcher.dispatch(request, chosen.get(), priority, nowMs);
    return true;
  }
}
