// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

/** How requests end that get no whole answer. Stateless: the same input gives the same end. */
final class EndRules {
  /**
   * After how long a caller is asked back by a host that stops, in milliseconds: others can take
   * the request at once, and the shortest requests have 300 ms in all.
   */
  private static final long STOPPING_RETRY_MS = 20;

  private EndRules() {}

  /** Returns the end of a request that arrives before its host knows any table. */
  static Refusal noTable() {
    return Refusal.of(RefusalKind.NO_TABLE, Ran.NO, Admission.OTHER_HOST_RETRY_MS);
  }

  /** Returns the end of a request that arrives while its host stops. */
  static Refusal draining() {
    return Refusal.of(RefusalKind.DRAINING, Ran.NO, STOPPING_RETRY_MS);
  }

  /**
   * Returns the end of a request that is not sent because endpoints end under it. The caller is not
   * asked back: it would be turned away again.
   */
  static Refusal endsEndpoints(LiveRequest request) {
    return Refusal.of(RefusalKind.ENDS_ENDPOINTS, request.ran(), Refusal.NEVER);
  }

  /** Returns the end of a request that is still open when its host ends. */
  static Refusal hostEnds(LiveRequest request) {
    if (request.ran() == Ran.NO) {
      return draining();
    }
    return lost(request, request.facts.repeatable() ? STOPPING_RETRY_MS : Refusal.NEVER);
  }

  /** Returns the end of a request whose last attempt failed and that is not sent again. */
  static Refusal afterFailure(LiveRequest request, LiveRequest.Attempt last) {
    return lost(request, mayRepeat(request, last) ? Admission.OTHER_HOST_RETRY_MS : Refusal.NEVER);
  }

  /** Returns the end of a request that no endpoint can take in time. */
  static Refusal unavailable(LiveRequest request, RefusalKind kind, long retryMs) {
    if (request.ran() == Ran.NO) {
      return Refusal.of(kind, Ran.NO, retryMs);
    }
    return lost(request, request.facts.repeatable() ? retryMs : Refusal.NEVER);
  }

  private static Refusal lost(LiveRequest request, long retryMs) {
    boolean unknown = request.ran() == Ran.UNKNOWN && !request.facts.repeatable();
    RefusalKind kind = unknown ? RefusalKind.OUTCOME_UNKNOWN : RefusalKind.ENDPOINT_FAILED;
    return Refusal.of(kind, request.ran(), retryMs);
  }

  /** Tells whether a request may be sent again after an attempt. */
  static boolean mayRepeat(LiveRequest request, LiveRequest.Attempt attempt) {
    return attempt.state == AttemptState.NOT_RUN || request.facts.repeatable();
  }

  /** Keeps a request from the endpoint of its failed attempt, and lets that rest where due. */
  static void blame(
      LiveRequest request, LiveRequest.Attempt attempt, AttemptEvent event, long nowMs) {
    if (event == AttemptEvent.ENDPOINT_RESTS) {
      return;
    }
    // One that asks for rest as it turns a request away has named the time, and has not failed.
    boolean onlyRests = event == AttemptEvent.REFUSED_BY_ENDPOINT && attempt.endpoint.rests(nowMs);
    boolean mayBeSlow = event == AttemptEvent.FAILED_BY_ENDPOINT || event == AttemptEvent.STALLED;
    if (!onlyRests && !mayBeSlow) {
      attempt.endpoint.failed(nowMs);
    }
    request.excluded.add(attempt.endpoint.endpoint().identity());
  }

  /** Returns the reason that is shown for a refusal of a new request. */
  static Reason reasonOf(RefusalKind kind) {
    return switch (kind) {
      case NO_ENDPOINT, ENDPOINTS_REST -> Reason.NO_ENDPOINT;
      case CANNOT_FINISH -> Reason.DEADLINE;
      default -> Reason.LIMIT;
    };
  }
}
