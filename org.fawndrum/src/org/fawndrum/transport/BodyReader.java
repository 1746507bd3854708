// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.concurrent.CompletableFuture;
import org.fawndrum.coordination.Refusal;
import org.fawndrum.coordination.RefusalKind;
import org.fawndrum.errors.RefusedException;

/** Reads request bodies up to a maximum size, with a timeout between two chunks. */
public final class BodyReader {
  private final Vertx vertx;
  private final long maxBytes;
  private final long silenceMs;
  private final Budget budget;

  /** Limits what is held in memory for all requests together. */
  public interface Budget {
    /** Permits any number of bytes. */
    Budget UNLIMITED = bytes -> true;

    /** Returns whether this number of bytes more may be held, and counts them if so. */
    boolean tryHold(int bytes);

    /** Returns the refusal of a request that exceeds the budget. */
    default Refusal refusal() {
      return Refusal.notRun(RefusalKind.HOST_MEMORY_FULL);
    }
  }

  /**
   * Creates a reader.
   *
   * @param maxBytes the maximum size of a body in bytes
   * @param silenceMs the maximum time between two chunks of a body, in milliseconds
   */
  public BodyReader(Vertx vertx, long maxBytes, long silenceMs) {
    this(vertx, maxBytes, silenceMs, Budget.UNLIMITED);
  }

  /**
   * Creates a reader.
   *
   * @param budget counts the bytes that are read
   */
  public BodyReader(Vertx vertx, long maxBytes, long silenceMs, Budget budget) {
    this.vertx = vertx;
    this.maxBytes = maxBytes;
    this.silenceMs = silenceMs;
    this.budget = budget;
  }

  /**
   * Reads the whole body. The future fails with {@code RefusedException} when the body is too large
   * or exceeds the budget, the sender is silent for too long or the connection fails.
   */
  public CompletableFuture<Buffer> read(HttpServerRequest request, String requestId) {
    CompletableFuture<Buffer> result = new CompletableFuture<>();
    Buffer body = Buffer.buffer();
    long[] timer = {-1};
    Runnable restartTimer =
        () -> {
          vertx.cancelTimer(timer[0]);
          timer[0] =
              vertx.setTimer(
                  silenceMs, id -> fail(result, requestId, RefusalKind.REQUEST_INCOMPLETE));
        };
    restartTimer.run();
    request.handler(
        chunk -> {
          restartTimer.run();
          if (body.length() + (long) chunk.length() > maxBytes) {
            fail(result, requestId, RefusalKind.BODY_TOO_LARGE);
          } else if (!result.isDone() && !budget.tryHold(chunk.length())) {
            result.completeExceptionally(new RefusedException(requestId, budget.refusal()));
          } else if (!result.isDone()) {
            body.appendBuffer(chunk);
          }
        });
    request.endHandler(v -> result.complete(body));
    request.exceptionHandler(cause -> fail(result, requestId, RefusalKind.REQUEST_INCOMPLETE));
    result.whenComplete(
        (done, failure) -> {
          vertx.cancelTimer(timer[0]);
          if (failure != null) {
            // What arrives later is dropped, and so is what was read.
            request.handler(chunk -> {}).endHandler(v -> {});
          }
        });
    return result;
  }

  private static void fail(CompletableFuture<Buffer> result, String requestId, RefusalKind kind) {
    result.completeExceptionally(new RefusedException(requestId, Refusal.notRun(kind)));
  }
}
