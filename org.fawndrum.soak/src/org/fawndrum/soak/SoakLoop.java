// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * The one event loop of a soak, and the way for another thread to have something done on it. Safe
 * for all threads, but the methods that wait must not be called on the event loop itself.
 */
final class SoakLoop {
  /** How long a step on the event loop may take, in seconds. */
  private static final long STEP_S = 20;

  private final Vertx vertx =
      Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setPreferNativeTransport(true));

  /** Returns what makes servers, clients and timers on the event loop. */
  Vertx vertx() {
    return vertx;
  }

  /** Does something on the event loop and returns what it gave. */
  <T> T call(Callable<T> action) throws InterruptedException {
    return await(
        Future.future(
            promise ->
                vertx.runOnContext(
                    v -> {
                      try {
                        promise.complete(action.call());
                      } catch (Exception e) {
                        promise.fail(e);
                      }
                    })));
  }

  /** Does something on the event loop and waits for its end. */
  void run(Runnable action) throws InterruptedException {
    call(
        () -> {
          action.run();
          return null;
        });
  }

  /** Begins something on the event loop and returns what it gave in the end. */
  <T> T callAndAwait(Callable<Future<T>> action) throws InterruptedException {
    return await(call(action));
  }

  /** Ends the event loop and all that was made on it. */
  void close() {
    vertx.close();
  }

  private static <T> T await(Future<T> future) throws InterruptedException {
    try {
      return future.toCompletionStage().toCompletableFuture().get(STEP_S, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new SoakFailedException("a step on the event loop", e);
    }
  }
}
