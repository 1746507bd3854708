// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;

/**
 * The event loop of a soak, with methods to run tasks on it from other threads. Safe for all
 * threads, but the methods that wait must not be called on the event loop itself.
 */
final class SoakLoop {
  /** Maximum duration of a task on the event loop, in seconds. */
  private static final long TIMEOUT_S = 20;

  private final Vertx vertx;

  /** Creates a single event loop. */
  SoakLoop() {
    this(1);
  }

  /**
   * Creates a number of event loops. All that one thread from elsewhere opens shares one of them,
   * see {@link #callOnNext}.
   */
  SoakLoop(int loops) {
    this.vertx =
        Vertx.vertx(new VertxOptions().setEventLoopPoolSize(loops).setPreferNativeTransport(true));
  }

  /** Returns the factory of servers, clients and timers on the event loop. */
  Vertx vertx() {
    return vertx;
  }

  /** Runs a task on the event loop and returns its result. */
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

  /**
   * Runs a task on the next of the event loops in turn. A server that it opens stays on that loop,
   * with all its connections.
   */
  <T> Future<T> callOnNext(Supplier<Future<T>> action) {
    Promise<T> result = Promise.promise();
    vertx
        .deployVerticle(
            new VerticleBase() {
              @Override
              public Future<T> start() {
                return action.get().onComplete(result);
              }
            })
        .onFailure(result::tryFail);
    return result.future();
  }

  /** Runs a task on the event loop and waits for its completion. */
  void run(Runnable action) throws InterruptedException {
    call(
        () -> {
          action.run();
          return null;
        });
  }

  /** Starts an asynchronous task on the event loop and returns its final result. */
  <T> T callAndAwait(Callable<Future<T>> action) throws InterruptedException {
    return await(call(action));
  }

  /** Closes the event loop and everything created on it. */
  void close() {
    vertx.close();
  }

  private static <T> T await(Future<T> future) throws InterruptedException {
    try {
      return future.toCompletionStage().toCompletableFuture().get(TIMEOUT_S, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new SoakFailedException("a step on the event loop", e);
    }
  }
}
