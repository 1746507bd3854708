// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.List;
import java.util.Optional;
import org.fawndrum.state.CellKey;
import org.fawndrum.state.Column;
import org.fawndrum.state.EndpointKind;

/** Decides whether a request may wait or run at all, and if not, when it may come back. */
final class Admission {
  /** The shortest time after which a refused caller is asked back, in milliseconds. */
  static final long SHORTEST_RETRY_MS = 100;

  /** The time after which a caller is asked back when only other hosts can help sooner. */
  static final long OTHER_HOST_RETRY_MS = 1_000;

  private static final double MS_PER_SECOND = 1000.0;

  private final WaitingRequests waiting;
  private final DrainRate drained;
  private final EndpointBook endpoints;
  private final SuspectRequests suspects;
  private final boolean refuseEarly;

  Admission(
      WaitingRequests waiting,
      DrainRate drained,
      EndpointBook endpoints,
      SuspectRequests suspects,
      boolean refuseEarly) {
    this.waiting = waiting;
    this.drained = drained;
    this.endpoints = endpoints;
    this.suspects = suspects;
    this.refuseEarly = refuseEarly;
  }

  /** Returns why the request is refused, or null when it is admitted. */
  Refusal check(LiveRequest request, GroupUsage usage, long nowMs) {
    RequestFacts facts = request.facts;
    if (facts.target().kind() == EndpointKind.MODEL
        && !usage.row().allowsModel(facts.target().name())) {
      return byCell(RefusalKind.MODEL_NOT_ALLOWED, Refusal.NEVER, facts, Column.MODELS);
    }
    Refusal unavailable = unavailable(request, nowMs);
    if (unavailable != null) {
      return unavailable;
    }
    if (fitsNowhere(facts)) {
      return Refusal.notRun(RefusalKind.PROMPT_TOO_LONG);
    }
    if (usage.inFlight >= usage.inFlightLimit()) {
      long retryMs = Math.max(SHORTEST_RETRY_MS, expectedWaitMs(facts, nowMs));
      return byCell(RefusalKind.IN_FLIGHT_LIMIT, retryMs, facts, Column.IN_FLIGHT);
    }
    if (usage.waiting >= usage.row().number(Column.QUEUE_LENGTH)) {
      long retryMs = Math.max(SHORTEST_RETRY_MS, expectedWaitMs(facts, nowMs) / 2);
      return byCell(RefusalKind.QUEUE_FULL, retryMs, facts, Column.QUEUE_LENGTH);
    }
    Refusal late = refuseEarly ? cannotFinish(request, nowMs) : null;
    if (late != null) {
      return late;
    }
    long rateWaitMs = usage.takeRates(facts.workTokens(), nowMs);
    if (rateWaitMs > 0) {
      return byCell(RefusalKind.RATE_LIMITED, rateWaitMs, facts, usage.usedUp(nowMs));
    }
    return null;
  }

  /**
   * Returns the end of a request that no endpoint can take in time: there is none, all of them want
   * nothing from this host until it would come late, or it is in quarantine itself. Null when one
   * may take it. The caller is asked back when the first of them is to be had again, or when
   * another host, which they may not have asked for rest, can help sooner.
   */
  Refusal unavailable(LiveRequest request, long nowMs) {
    Refusal suspected = suspects.quarantinedTooLong(request, nowMs);
    if (suspected != null) {
      return suspected;
    }
    List<EndpointState> serving = endpoints.serving(request.facts.target());
    if (serving.isEmpty()) {
      return EndRules.unavailable(request, RefusalKind.NO_ENDPOINT, OTHER_HOST_RETRY_MS);
    }
    long restEndMs =
        serving.stream().mapToLong(EndpointState::restEndMs).min().orElse(Long.MIN_VALUE);
    boolean inTime = restEndMs + shortestServiceMs(request.facts) <= aimedAtMs(request);
    if (restEndMs <= nowMs || inTime) {
      return null;
    }
    long retryMs = Math.min(OTHER_HOST_RETRY_MS, restEndMs - nowMs);
    return EndRules.unavailable(request, RefusalKind.ENDPOINTS_REST, retryMs);
  }

  /** Returns by when the first part of the answer is wanted; the deadline where nothing is. */
  private static long aimedAtMs(LiveRequest request) {
    long aimMs = request.facts.aims().firstTokenMs();
    return aimMs > 0 ? request.facts.arrivedMs() + aimMs : request.deadlineMs;
  }

  /** Tells whether no endpoint could ever hold the request, however long it waited. */
  private boolean fitsNowhere(RequestFacts facts) {
    return facts.target().kind() == EndpointKind.MODEL
        && facts.workTokens() > endpoints.mostMemory(facts.target());
  }

  private Refusal cannotFinish(LiveRequest request, long nowMs) {
    long endMs = nowMs + expectedWaitMs(request.facts, nowMs) + shortestServiceMs(request.facts);
    if (endMs <= request.deadlineMs) {
      return null;
    }
    long retryMs = Math.max(SHORTEST_RETRY_MS, endMs - request.deadlineMs);
    return byCell(RefusalKind.CANNOT_FINISH, retryMs, request.facts, Column.DEADLINE_MS);
  }

  private static Refusal byCell(RefusalKind kind, long retryMs, RequestFacts facts, Column column) {
    return new Refusal(kind, Ran.NO, retryMs, Optional.of(new CellKey(facts.group(), column)));
  }

  /** Returns the end of a request that is given up as late. */
  Refusal late(LiveRequest request, RefusalKind kind, long nowMs) {
    CellKey cell = new CellKey(request.facts.group(), Column.DEADLINE_MS);
    return new Refusal(kind, request.ran(), retryAfterMs(request, nowMs), Optional.of(cell));
  }

  /** Returns when a request that is given up as late may come back, in milliseconds. */
  private long retryAfterMs(LiveRequest request, long nowMs) {
    if (!request.facts.repeatable() && request.ran() != Ran.NO) {
      return Refusal.NEVER;
    }
    return Math.max(SHORTEST_RETRY_MS, expectedWaitMs(request.facts, nowMs));
  }

  /** Returns how long a request would wait behind what waits now, in milliseconds. */
  long expectedWaitMs(RequestFacts facts, long nowMs) {
    long ahead = waiting.tokensAhead(facts);
    double rate = drained.tokensPerSecond(facts.target(), nowMs);
    return ahead == 0 || rate <= 0 ? 0 : (long) (ahead / rate * MS_PER_SECOND);
  }

  /** Returns the time to the first token on the fastest endpoint if it were idle. */
  long shortestServiceMs(RequestFacts facts) {
    if (facts.target().kind() == EndpointKind.PLAIN) {
      return 0;
    }
    List<EndpointState> serving = endpoints.serving(facts.target());
    long shortest = Long.MAX_VALUE;
    int look = Math.min(serving.size(), 8);
    for (int i = 0; i < look; i++) {
      shortest = Math.min(shortest, serving.get(i).shortestReadMs(facts.promptTokens()));
    }
    return look == 0 ? 0 : shortest;
  }
}
