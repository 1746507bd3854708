// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import org.fawndrum.coordination.Ran;
import org.fawndrum.coordination.Refusal;
import org.fawndrum.coordination.RefusalKind;
import org.fawndrum.coordination.once.ClaimCoordinator.Sending;
import org.fawndrum.coordination.once.ClaimKey;
import org.fawndrum.errors.RefusedException;

/** Reads from a call's headers what its caller shows of earlier sendings of the same call. */
final class SendingEvidence {
  /** Names the call; the same on each sending. */
  static final String KEY_HEADER = "idempotency-key";

  /** How often the call was sent before, as common client libraries count it. */
  static final String COUNT_HEADER = "x-stainless-retry-count";

  private static final int LONGEST_KEY = 256;

  private SendingEvidence() {}

  /**
   * Returns the claim that a call needs, or null for a call without a key: it is sent once, and a
   * later call cannot be told to be the same one.
   *
   * @throws RefusedException if a later sending has no key, so that nothing can be found out about
   *     the earlier one, or if a header makes no sense
   */
  static HostEvent.Claimed claim(CallerServer.Call call) {
    String key = call.request().getHeader(KEY_HEADER);
    Sending sending = sending(call);
    if (key == null) {
      if (sending == Sending.REPEAT) {
        throw new RefusedException(
            call.requestId(), Refusal.of(RefusalKind.OUTCOME_UNKNOWN, Ran.UNKNOWN, Refusal.NEVER));
      }
      return null;
    }
    if (key.isBlank() || key.length() > LONGEST_KEY) {
      throw invalid(call);
    }
    return new HostEvent.Claimed(new ClaimKey(call.group(), key), sending);
  }

  private static Sending sending(CallerServer.Call call) {
    String count = call.request().getHeader(COUNT_HEADER);
    if (count == null) {
      return Sending.UNCOUNTED;
    }
    try {
      int before = Integer.parseInt(count.strip());
      if (before > 0) {
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
