// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import org.fawndrum.coordination.Ran;
import org.fawndrum.coordination.Refusal;
import org.fawndrum.coordination.RefusalKind;
import org.fawndrum.coordination.once.ClaimCoordinator.Sending;
import org.fawndrum.coordination.once.ClaimKey;
import org.fawndrum.errors.RefusedException;

/** Parses the headers that identify a call and mark it as a retry of an earlier one. */
final class IdempotencyHeaders {
  /** Header with the key of the call, which is the same on each retry. */
  static final String KEY_HEADER = "idempotency-key";

  /** Header with the number of earlier tries, as set by common client libraries. */
  static final String COUNT_HEADER = "x-stainless-retry-count";

  private static final int MAX_KEY_LENGTH = 256;

  private IdempotencyHeaders() {}

  /**
   * Returns the claim for a call, or null for a call without a key: it is sent once, and no later
   * call can be identified as its retry.
   *
   * @throws RefusedException if a retry has no key, so that the outcome of the earlier try cannot
   *     be determined, or if a header is invalid
   */
  static HostEvent.ClaimInfo claim(CallerServer.Call call) {
    String key = call.request().getHeader(KEY_HEADER);
    Sending sending = sending(call);
    if (key == null) {
      if (sending == Sending.REPEAT) {
        throw new RefusedException(
            call.requestId(), Refusal.of(RefusalKind.OUTCOME_UNKNOWN, Ran.UNKNOWN, Refusal.NEVER));
      }
      return null;
    }
    if (key.isBlank() || key.length() > MAX_KEY_LENGTH) {
      throw invalid(call);
    }
    return new HostEvent.ClaimInfo(new ClaimKey(call.group(), key), sending);
  }

  private static Sending sending(CallerServer.Call call) {
    String count = call.request().getHeader(COUNT_HEADER);
    if (count == null) {
      return Sending.UNCOUNTED;
    }
    try {
      int earlierTries = Integer.parseInt(count.strip());
      if (earlierTries > 0) {
        return Sending.REPEAT;
      }
      return call.trusted() ? Sending.FIRST : Sending.UNCOUNTED;
    } catch (NumberFormatException e) {
      throw invalid(call);
    }
  }

  private static RefusedException invalid(CallerServer.Call call) {
    return new RefusedException(call.requestId(), Refusal.notRun(RefusalKind.INVALID_REQUEST));
  }
}
