// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.concurrent.TimeUnit;
import org.fawndrum.coordination.Refusal;
import org.fawndrum.coordination.RefusalKind;
import org.fawndrum.protocol.ErrorBodies;
import org.fawndrum.protocol.Json;

/** Writes final answers to callers, whatever state the response is in. */
final class CallerResponse {
  private static final long MS_PER_SECOND = 1000;
  private static final long CLOSE_MS = 250;

  private CallerResponse() {}

  /**
   * Writes a refusal. When a streamed answer has begun, an error event is written and the
   * connection closed without the end mark, so that a cut answer never looks whole.
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
        .putHeader("x-fawndrum-ran", refusal.ran().word());
    if (refusal.kind() == RefusalKind.DRAINING) {
      // The caller is to come back at once, but to another host.
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

  /** Writes a refusal to a request that was not read to its end, and closes the connection. */
  static void refuseAndClose(HttpServerRequest request, String requestId, Refusal refusal) {
    request.response().putHeader("connection", "close");
    refuse(request.response(), requestId, refusal);
    // The rest of the request will not be read, so nothing else can follow on this connection. The
    // caller gets a moment to read the answer before the connection is closed under its writes.
    request.connection().shutdown(CLOSE_MS, TimeUnit.MILLISECONDS);
  }
}
