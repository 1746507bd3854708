// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.List;
import java.util.Optional;
import org.fawndrum.coordination.limit.EndpointPermits;
import org.fawndrum.state.CellKey;
import org.fawndrum.state.Column;
import org.fawndrum.state.EndpointKind;

/** Checks whether a request may be queued or run, and computes when a refused caller may retry. */
final class Admission {
  /** Minimum retry delay sent to a refused caller, in milliseconds. */
  static final long MIN_RETRY_AFTER_MS = 100;

  /**
   * Retry delay when another host may be able to take the request sooner, in milliseconds; an upper
   * bound if this host's endpoints are in backoff.
   */
  static final long OTHER_HOST_RETRY_AFTER_MS = 1_000;

  private static final double MS_PER_SECOND = 1000.0;

  private final WaitingRequests waiting;
  private final DispatchRate dispatchRate;
  private final EndpointRegistry endpoints;
  private final SuspectedRequests suspectedRequests;
  private final EndpointPermits permits;
  private final ReturnTimes returnTimes = new ReturnTimes();
  private final boolean refuseEarly;

  Admission(
      WaitingRequests waiting,
      DispatchRate dispatchRate,
      EndpointRegistry endpoints,
      SuspectedRequests suspectedRequests,
      EndpointPermits permits,
      boolean refuseEarly) {
    this.waiting = waiting;
    this.dispatchRate = dispatchRate;
    this.endpoints = endpoints;
    this.suspectedRequests = suspectedRequests;
    this.permits = permits;
    this.refuseEarly = refuseEarly;
  }

  /** Returns why the request is refused, or null when it is admitted. */
  Refusal check(OpenRequest request, GroupUsage usage, long nowMs) {
    RequestFacts facts = request.facts;
    if (facts.target().kind() == EndpointKind.MODEL
        && !usage.row().allowsModel(facts.target().name())) {
      return refusalByCell(RefusalKind.MODEL_NOT_ALLOWED, Refusal.NEVER, facts, Column.MODELS);
    }
    int before = waiting.waitingRequests(facts.target());
    Refusal unavailable = checkAvailability(request, before, nowMs);
    if (unavailable != null) {
      return unavailable;
    }
    if (exceedsAllMemory(facts)) {
      return Refusal.notRun(RefusalKind.PROMPT_TOO_LONG);
    }
    if (usage.inFlight >= usage.inFlightLimit()) {
      long retryMs = Math.max(MIN_RETRY_AFTER_MS, expectedWaitMs(facts, nowMs));
      return refusalByCell(RefusalKind.IN_FLIGHT_LIMIT, retryMs, facts, Column.IN_FLIGHT);
    }
    if (usage.waiting >= usage.row().number(Column.QUEUE_LENGTH)) {
      long retryMs = Math.max(MIN_RETRY_AFTER_MS, expectedWaitMs(facts, nowMs) / 2);
      return refusalByCell(RefusalKind.QUEUE_FULL, retryMs, facts, Column.QUEUE_LENGTH);
    }
    // The rate of the past says nothing about requests that wait for permits.
    boolean judged = endpoints.serving(facts.target()).stream().allMatch(s -> s.lacksPermit(nowMs));
    Refusal late = refuseEarly && !judged ? checkDeadline(request, nowMs) : null;
    if (late != null) {
      return late;
    }
    long rateWaitMs = usage.tryTakeRates(facts.workTokens(), nowMs);
    if (rateWaitMs > 0) {
      return refusalByCell(
          RefusalKind.RATE_LIMITED, rateWaitMs, facts, usage.exhaustedColumn(nowMs));
    }
    return null;
  }

  /**
   * Returns the refusal of a request that no endpoint can take in time, or null if one may. No
   * endpoint can take it if none serves the target outside drained zones, if all of them have asked
   * this host for a backoff that lasts too long or accept too few requests a second, or if the
   * request is quarantined past its deadline. The retry delay ends when the first endpoint becomes
   * available again. After a backoff it is limited to {@link #OTHER_HOST_RETRY_AFTER_MS} because
   * the endpoints may accept requests from other hosts; a rate is that of all hosts, and callers
   * are given different times.
   *
   * @param before the number of waiting requests for the same target that are sent first
   */
  Refusal checkAvailability(OpenRequest request, int before, long nowMs) {
    Refusal suspected = suspectedRequests.quarantinedTooLong(request, nowMs);
    if (suspected != null) {
      return suspected;
    }
    List<EndpointState> serving = endpoints.serving(request.facts.target());
    if (serving.isEmpty()) {
      RefusalKind kind =
          endpoints.isDrained(request.facts.target())
              ? RefusalKind.ZONES_DRAINED
              : RefusalKind.NO_ENDPOINT;
      return RefusalRules.unavailable(request, kind, OTHER_HOST_RETRY_AFTER_MS);
    }
    int beforeAtEach = before / serving.size();
    EndpointState first = null;
    long firstMs = Long.MAX_VALUE;
    for (EndpointState state : serving) {
      long availableMs = availableMs(state, beforeAtEach, nowMs);
      if (availableMs <= nowMs) {
        return null;
      }
      if (availableMs < firstMs) {
        first = state;
        firstMs = availableMs;
      }
    }
    boolean inTime = firstMs + shortestServiceMs(request.facts) <= answerDueMs(request);
    if (first == null || inTime) {
      return null;
    }
    if (first.requestedBackoffEndMs() >= firstMs) {
      long retryMs = Math.min(OTHER_HOST_RETRY_AFTER_MS, firstMs - nowMs);
      return RefusalRules.unavailable(request, RefusalKind.ENDPOINTS_REST, retryMs);
    }
    long gapMs = permits.gapMs(first.endpoint().name());
    long returnMs = returnTimes.next(request.facts.target(), firstMs, gapMs);
    return RefusalRules.unavailable(request, RefusalKind.ENDPOINTS_LIMITED, returnMs - nowMs);
  }

  private long availableMs(EndpointState state, int before, long nowMs) {
    long permitMs = permits.expectedMs(state.endpoint().name(), before, nowMs);
    return Math.max(state.requestedBackoffEndMs(), permitMs);
  }

  /**
   * Returns when the first part of the answer is due, or the deadline if there is no such target.
   */
  private static long answerDueMs(OpenRequest request) {
    long targetMs = request.facts.latencyTargets().firstTokenMs();
    return targetMs > 0 ? request.facts.arrivedMs() + targetMs : request.deadlineMs;
  }

  /** Whether the request needs more memory than any endpoint of its target can ever provide. */
  private boolean exceedsAllMemory(RequestFacts facts) {
    return facts.target().kind() == EndpointKind.MODEL
        && facts.workTokens() > endpoints.maxRequestMemory(facts.target());
  }

  private Refusal checkDeadline(OpenRequest request, long nowMs) {
    long endMs = nowMs + expectedWaitMs(request.facts, nowMs) + shortestServiceMs(request.facts);
    if (endMs <= request.deadlineMs) {
      return null;
    }
    long retryMs = Math.max(MIN_RETRY_AFTER_MS, endMs - request.deadlineMs);
    return refusalByCell(RefusalKind.CANNOT_FINISH, retryMs, request.facts, Column.DEADLINE_MS);
  }

  private static Refusal refusalByCell(
      RefusalKind kind, long retryMs, RequestFacts facts, Column column) {
    return new Refusal(kind, Ran.NO, retryMs, Optional.of(new CellKey(facts.group(), column)));
  }

  /** Returns the refusal of a request whose deadline has passed or cannot be met. */
  Refusal lateRefusal(OpenRequest request, RefusalKind kind, long nowMs) {
    CellKey cell = new CellKey(request.facts.group(), Column.DEADLINE_MS);
    return new Refusal(kind, request.ran(), retryAfterMs(request, nowMs), Optional.of(cell));
  }

  /** Returns the retry delay of a late request in milliseconds, or {@link Refusal#NEVER}. */
  private long retryAfterMs(OpenRequest request, long nowMs) {
    if (!request.facts.repeatable() && request.ran() != Ran.NO) {
      return Refusal.NEVER;
    }
    return Math.max(MIN_RETRY_AFTER_MS, expectedWaitMs(request.facts, nowMs));
  }

  /** Returns the expected time in the queue behind the requests waiting now, in milliseconds. */
  long expectedWaitMs(RequestFacts facts, long nowMs) {
    long ahead = waiting.tokensAhead(facts);
    double rate = dispatchRate.tokensPerSecond(facts.target(), nowMs);
    return ahead == 0 || rate <= 0 ? 0 : (long) (ahead / rate * MS_PER_SECOND);
  }

  /**
   * Returns the minimum time to the first token over a sample of endpoints, each assumed idle, in
   * milliseconds; 0 for plain services.
   */
  long shortestServiceMs(RequestFacts facts) {
    if (facts.target().kind() == EndpointKind.PLAIN) {
      return 0;
    }
    List<EndpointState> serving = endpoints.serving(facts.target());
    long shortest = Long.MAX_VALUE;
    int sampled = Math.min(serving.size(), 8);
    for (int i = 0; i < sampled; i++) {
      shortest = Math.min(shortest, serving.get(i).minPrefillMs(facts.promptTokens()));
    }
    return sampled == 0 ? 0 : shortest;
  }
}
