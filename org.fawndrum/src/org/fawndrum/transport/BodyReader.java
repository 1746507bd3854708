// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.concurrent.CompletableFuture;
import org.fawndrum.coordination.Refusal;
import org.fawndrum.coordination.RefusalKind;
import org.fawndrum.errors.RefusedException;

/** Reads a caller's body up to a size and within a time. */
public final class BodyReader {
  private final Vertx vertx;
  private final long mostBytes;
  private final long silenceMs;

  /**
   * Makes a reader.
   *
   * @param mostBytes the longest body
   * @param silenceMs how long its sender may be silent, in milliseconds
   */
  public BodyReader(Vertx vertx, long mostBytes, long silenceMs) {
    this.vertx = vertx;
    this.mostBytes = mostBytes;
    this.silenceMs = silenceMs;
  }

  /**
   * Gives the whole body; fails with {@code RefusedException} when it is too large or its sender
   * falls silent.
   */
  public CompletableFuture<Buffer> read(HttpServerRequest request, String requestId) {
    CompletableFuture<Buffer> whole = new CompletableFuture<>();
    Buffer body = Buffer.buffer();
    long[] timer = {-1};
    Runnable heard =
        () -> {
          vertx.cancelTimer(timer[0]);
          timer[0] =
              vertx.setTimer(
                  silenceMs, id -> fail(whole, requestId, RefusalKind.REQUEST_INCOMPLETE));
        };
    heard.run();
    request.handler(
        piece -> {
          heard.run();
          if (body.length() + (long) piece.length() > mostBytes) {
            fail(whole, requestId, RefusalKind.BODY_TOO_LARGE);
          } else if (!whole.isDone()) {
            body.appendBuffer(piece);
          }
        });
    request.endHandler(v -> whole.complete(body));
    request.exceptionHandler(cause -> fail(whole, requestId, RefusalKind.REQUEST_INCOMPLETE));
    whole.whenComplete((done, failure) -> vertx.cancelTimer(timer[0]));
    return whole;
  }

  private static void fail(CompletableFuture<Buffer> whole, String requestId, RefusalKind kind) {
    whole.completeExceptionally(new RefusedException(requestId, Refusal.notRun(kind)));
  }
}
