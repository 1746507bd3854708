// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.EnumSet;
import java.util.Set;

/**
 * Determines the refusal of requests that get no whole answer, and how failures of attempts affect
 * their endpoints. Stateless.
 */
final class RefusalRules {
  /**
   * Retry delay given by a host that shuts down, in milliseconds. Other hosts can take the request
   * at once, and the shortest requests have 300 ms in total.
   */
  private static final long SHUTDOWN_RETRY_AFTER_MS = 20;

  /**
   * Events of attempts whose endpoint is not to be left out: it is not the cause, or it is alive
   * and answers on a new connection.
   */
  private static final Set<AttemptEvent> NOT_AT_FAULT =
      EnumSet.of(
          AttemptEvent.NO_PATH,
          AttemptEvent.ENDPOINT_BACKOFF,
          AttemptEvent.ENDPOINT_LIMITED,
          AttemptEvent.ZONE_DRAINED,
          AttemptEvent.PATH_LOST,
          AttemptEvent.STRAY_ANSWER);

  private RefusalRules() {}

  /** Returns the refusal of a request that arrives before the host has a table. */
  static Refusal noTable() {
    return Refusal.of(RefusalKind.NO_TABLE, Ran.NO, Admission.OTHER_HOST_RETRY_AFTER_MS);
  }

  /** Returns the refusal of a request that arrives while the host is shutting down. */
  static Refusal hostDraining() {
    return Refusal.of(RefusalKind.DRAINING, Ran.NO, SHUTDOWN_RETRY_AFTER_MS);
  }

  /**
   * Returns the refusal of a request that is not sent because endpoints crash while running it. The
   * caller is not asked to retry: the request would be rejected again.
   */
  static Refusal rejected(OpenRequest request) {
    return Refusal.of(RefusalKind.ENDS_ENDPOINTS, request.ran(), Refusal.NEVER);
  }

  /** Returns the refusal of a request that is still open when its host shuts down. */
  static Refusal hostShutdown(OpenRequest request) {
    if (request.ran() == Ran.NO) {
      return hostDraining();
    }
    return failed(request, request.facts.repeatable() ? SHUTDOWN_RETRY_AFTER_MS : Refusal.NEVER);
  }

  /**
   * Returns the refusal of a request whose last attempt failed and that is not sent again.
   *
   * @param reason why it is not sent again
   */
  static Refusal afterFailure(OpenRequest request, OpenRequest.Attempt last, Reason reason) {
    if (reason == Reason.NO_PATH) {
      return unavailable(request, RefusalKind.NO_PATH, Admission.OTHER_HOST_RETRY_AFTER_MS);
    }
    return failed(
        request, mayRetry(request, last) ? Admission.OTHER_HOST_RETRY_AFTER_MS : Refusal.NEVER);
  }

  /** Returns the refusal of a request that no endpoint can take in time. */
  static Refusal unavailable(OpenRequest request, RefusalKind kind, long retryMs) {
    if (request.ran() == Ran.NO) {
      return Refusal.of(kind, Ran.NO, retryMs);
    }
    return failed(request, request.facts.repeatable() ? retryMs : Refusal.NEVER);
  }

  private static Refusal failed(OpenRequest request, long retryMs) {
    boolean unknown = request.ran() == Ran.UNKNOWN && !request.facts.repeatable();
    RefusalKind kind = unknown ? RefusalKind.OUTCOME_UNKNOWN : RefusalKind.ENDPOINT_FAILED;
    return Refusal.of(kind, request.ran(), retryMs);
  }

  /** Whether a request may be sent again after an attempt. */
  static boolean mayRetry(OpenRequest request, OpenRequest.Attempt attempt) {
    return attempt.state == AttemptState.NOT_RUN || request.facts.repeatable();
  }

  /**
   * Excludes the endpoint of a failed attempt for the request, and starts the endpoint's failure
   * backoff if it is at fault.
   */
  static void recordEndpointFailure(
      OpenRequest request, OpenRequest.Attempt attempt, AttemptEvent event, long nowMs) {
    if (NOT_AT_FAULT.contains(event)) {
      return;
    }
    // A refusal with a requested backoff names the time itself and is not counted as a failure.
    boolean onlyBackoff =
        event == AttemptEvent.REFUSED_BY_ENDPOINT && attempt.endpoint.inRequestedBackoff(nowMs);
    boolean mayBeSlow = event == AttemptEvent.FAILED_BY_ENDPOINT || event == AttemptEvent.STALLED;
    if (!onlyBackoff && !mayBeSlow) {
      attempt.endpoint.recordFailure(nowMs);
    }
    request.excludedEndpoints.add(attempt.endpoint.endpoint().identity());
  }

  /** Returns the reason recorded with the refusal of a new request. */
  static Reason reasonFor(RefusalKind kind) {
    return switch (kind) {
      case NO_ENDPOINT, ENDPOINTS_REST -> Reason.NO_ENDPOINT;
      case ENDPOINTS_LIMITED -> Reason.ENDPOINTS_LIMITED;
      case ZONES_DRAINED -> Reason.ZONES_DRAINED;
      case CANNOT_FINISH -> Reason.DEADLINE;
      default -> Reason.LIMIT;
    };
  }
}
