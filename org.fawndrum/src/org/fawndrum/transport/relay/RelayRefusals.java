// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.fawndrum.coordination.Ran;
import org.fawndrum.coordination.Refusal;
import org.fawndrum.coordination.RefusalKind;
import org.fawndrum.protocol.ErrorBodies;
import org.fawndrum.protocol.Json;

/**
 * Writes refusals by this host. The status shows whether the request ran: with 503 and 429 it
 * certainly did not; with 502 and 504 this is unknown.
 */
final class RelayRefusals {
  private static final int UNAVAILABLE = 503;
  private static final int BAD_GATEWAY = 502;
  private static final int GATEWAY_TIMEOUT = 504;
  private static final long CLOSE_TIMEOUT_MS = 250;

  /**
   * Faults of the request itself; these have their own status, so that the caller can correct it.
   */
  private static final Set<RefusalKind> CALLER_ERRORS =
      Set.of(
          RefusalKind.INVALID_REQUEST,
          RefusalKind.UNKNOWN_KEY,
          RefusalKind.NO_ROUTE,
          RefusalKind.REQUEST_INCOMPLETE,
          RefusalKind.BODY_TOO_LARGE,
          RefusalKind.HEADERS_TOO_LARGE);

  private RelayRefusals() {}

  static void answer(
      HttpServerResponse response, RelayCodec codec, String requestId, Refusal refusal) {
    if (response.ended() || response.closed() || response.headWritten()) {
      return;
    }
    response.headers().addAll(codec.refusalHeaders(requestId, refusal));
    response
        .setStatusCode(status(refusal))
        .putHeader("content-type", "application/json")
        .end(Json.write(ErrorBodies.of(requestId, refusal)));
  }

  /** Refuses a request that was not read completely, and closes the connection. */
  static void answerAndClose(
      HttpServerRequest request, RelayCodec codec, String requestId, Refusal refusal) {
    request.response().putHeader("connection", "close");
    answer(request.response(), codec, requestId, refusal);
    request.connection().shutdown(CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  private static int status(Refusal refusal) {
    if (CALLER_ERRORS.contains(refusal.kind())) {
      return refusal.kind().status();
    }
    if (refusal.ran() == Ran.NO) {
      return UNAVAILABLE;
    }
    boolean timedOut = refusal.kind() == RefusalKind.DEADLINE_PASSED;
    return timedOut ? GATEWAY_TIMEOUT : BAD_GATEWAY;
  }
}
