// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.concurrent.TimeUnit;
import org.fawndrum.coordination.Refusal;
import org.fawndrum.coordination.RefusalKind;
import org.fawndrum.protocol.ErrorBodies;
import org.fawndrum.protocol.Json;

/** Writes refusals to callers, in any state of the response. */
final class CallerResponse {
  private static final long MS_PER_SECOND = 1000;
  private static final long SHUTDOWN_TIMEOUT_MS = 250;

  private CallerResponse() {}

  /**
   * Writes a refusal. If a streamed answer has started, writes an error event and resets the
   * connection without the end marker, so that a truncated answer does not look complete.
   */
  static void refuse(HttpServerResponse response, String requestId, Refusal refusal) {
    if (response.ended() || response.closed()) {
      return;
    }
    String body = Json.write(ErrorBodies.of(requestId, refusal));
    if (response.headWritten()) {
      response.write("data: " + body + "\n\n").onComplete(done -> response.reset());
      return;
    }
    response
        .setStatusCode(refusal.kind().status())
        .putHeader("content-type", "application/json")
        .putHeader("x-request-id", requestId)
        .putHeader("x-fawndrum-ran", refusal.ran().wireName());
    if (refusal.kind() == RefusalKind.DRAINING) {
      // Makes the caller reconnect, so that its retry reaches another host.
      response.putHeader("connection", "close");
    }
    if (refusal.retryAfterMs() >= 0) {
      long seconds = (refusal.retryAfterMs() + MS_PER_SECOND - 1) / MS_PER_SECOND;
      response.putHeader("retry-after", Long.toString(Math.max(1, seconds)));
      response.putHeader("retry-after-ms", Long.toString(refusal.retryAfterMs()));
    } else {
      response.putHeader("x-should-retry", "false");
    }
    response.end(body);
  }

  /** Writes a refusal to a request whose body was not fully read, and closes the connection. */
  static void refuseAndClose(HttpServerRequest request, String requestId, Refusal refusal) {
    request.response().putHeader("connection", "close");
    refuse(request.response(), requestId, refusal);
    // The rest of the request is not read, so the connection cannot be reused. The caller may still
    // be writing; it gets 250 ms to read the response before the connection is closed.
    request.connection().shutdown(SHUTDOWN_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }
}
