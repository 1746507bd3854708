// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.protocol;

import org.fawndrum.coordination.Refusal;
import org.fawndrum.protocol.ChatMessages.ErrorBody;
import org.fawndrum.protocol.ChatMessages.ErrorDetail;

/** Converts refusals to the error bodies that callers receive. */
public final class ErrorBodies {
  private ErrorBodies() {}

  /** Returns the error body for a refused request. */
  public static ErrorBody of(String requestId, Refusal refusal) {
    return new ErrorBody(
        new ErrorDetail(
            message(refusal),
            refusal.kind().clientType(),
            refusal.kind().code(),
            refusal.cell().map(Object::toString).orElse(null),
            requestId,
            refusal.ran().wireName(),
            refusal.retryAfterMs() >= 0 ? refusal.retryAfterMs() : null));
  }

  private static String message(Refusal refusal) {
    String cell = refusal.cell().map(key -> " (table cell " + key + ")").orElse("");
    return refusal.kind().text() + cell;
  }
}
