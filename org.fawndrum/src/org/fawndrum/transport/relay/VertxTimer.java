// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.concurrent.Executor;

/** Runs steps on the event loop of the caller, or on a given one. Thread-safe. */
record VertxTimer(Vertx vertx) implements Timer {
  @Override
  public void runAfter(long delayMs, Runnable step) {
    vertx.setTimer(delayMs, id -> step.run());
  }

  /** Returns what runs steps on the event loop on which this is called. */
  Executor eventLoop() {
    Context context = vertx.getOrCreateContext();
    return step -> context.runOnContext(v -> step.run());
  }
}
