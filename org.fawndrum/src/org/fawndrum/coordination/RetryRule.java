// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

/** Decides whether a request whose attempt failed is sent again. Confined to one thread. */
final class RetryRule {
  /** How many attempts of one request may fail before anything was sent. */
  private static final int MOST_UNSENT = 12;

  private final Policies policies;

  RetryRule(Policies policies) {
    this.policies = policies;
  }

  /** Returns why a request is not sent again, or null when it is. */
  Reason whyNot(LiveRequest request, LiveRequest.Attempt attempt, AttemptEvent event, long nowMs) {
    if (!EndRules.mayRepeat(request, attempt)) {
      return Reason.NOT_REPEATABLE;
    }
    if (event == AttemptEvent.CONNECT_FAILED || event == AttemptEvent.ENDPOINT_RESTS) {
      // No endpoint saw it, so that it counts against nothing but the patience for it.
      request.unsent++;
      return request.unsent < MOST_UNSENT ? null : Reason.RETRY_BUDGET;
    }
    boolean allowed = !spent(request) && policies.retries().tryRetry(request.facts.target(), nowMs);
    return allowed ? null : Reason.RETRY_BUDGET;
  }

  /** Tells whether a request was sent to as many endpoints as it may be. */
  private boolean spent(LiveRequest request) {
    int byRoute = request.facts.aims().mostAttempts();
    int most = byRoute > 0 ? byRoute : policies.mostAttempts();
    return request.attempts.size() - request.unsent >= most;
  }
}
