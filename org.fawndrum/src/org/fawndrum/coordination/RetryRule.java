// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.EnumSet;
import java.util.Set;

/** Decides whether a request whose attempt failed is sent again. Confined to one thread. */
final class RetryRule {
  /** Maximum number of attempts of one request that may fail before anything was sent. */
  private static final int MAX_UNSENT_ATTEMPTS = 12;

  /**
   * Maximum number of attempts of one request for which no way to the endpoint was found. Ways are
   * much the same for all endpoints, and a caller that is refused at once can try another host.
   */
  private static final int MAX_ATTEMPTS_WITHOUT_PATH = 2;

  /** Events of attempts of which nothing reached an endpoint. */
  private static final Set<AttemptEvent> UNSENT =
      EnumSet.of(
          AttemptEvent.CONNECT_FAILED,
          AttemptEvent.NO_PATH,
          AttemptEvent.ENDPOINT_BACKOFF,
          AttemptEvent.ENDPOINT_LIMITED,
          AttemptEvent.ZONE_DRAINED);

  private final Policies policies;

  RetryRule(Policies policies) {
    this.policies = policies;
  }

  /**
   * Returns why a request is not sent again, or null if it is; in that case takes a retry from the
   * budget if the failed attempt was sent.
   */
  Reason denialReason(
      OpenRequest request, OpenRequest.Attempt attempt, AttemptEvent event, long nowMs) {
    if (!RefusalRules.mayRetry(request, attempt)) {
      return Reason.NOT_REPEATABLE;
    }
    if (event == AttemptEvent.NO_PATH
        && ++request.attemptsWithoutPath >= MAX_ATTEMPTS_WITHOUT_PATH) {
      return Reason.NO_PATH;
    }
    if (UNSENT.contains(event)) {
      // Nothing reached an endpoint, so only the limit on unsent attempts applies.
      request.unsentAttempts++;
      return request.unsentAttempts < MAX_UNSENT_ATTEMPTS ? null : Reason.RETRY_BUDGET;
    }
    boolean allowed =
        !attemptsExhausted(request) && policies.retries().tryRetry(request.facts.target(), nowMs);
    return allowed ? null : Reason.RETRY_BUDGET;
  }

  /** Whether a request was sent to as many endpoints as allowed. */
  private boolean attemptsExhausted(OpenRequest request) {
    int routeLimit = request.facts.latencyTargets().maxAttempts();
    int limit = routeLimit > 0 ? routeLimit : policies.maxAttempts();
    return request.attempts.size() - request.unsentAttempts >= limit;
  }
}
