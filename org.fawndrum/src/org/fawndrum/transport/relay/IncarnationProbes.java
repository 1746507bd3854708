// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.function.Consumer;
import org.fawndrum.state.Endpoint;

/**
 * Probes endpoints to learn whether their newest incarnation is shutting down. A notice in the
 * answer says so, which is processed before the probe completes. Thread-safe and non-blocking.
 */
final class IncarnationProbes {
  /** Delay before an endpoint that did not answer is probed again, in milliseconds. */
  static final long RETRY_MS = 500;

  /**
   * Maximum number of probes without an answer; after these the incarnation is used like any other.
   */
  static final int MAX_TRIES = 10;

  private final Vertx vertx;
  private final Context loop;
  private final EngineControl engineControl;
  private final Consumer<Endpoint> onProbed;

  /**
   * Creates the probes of one host.
   *
   * @param engineControl sends them
   * @param onProbed receives each endpoint that was probed; must not block
   */
  IncarnationProbes(Vertx vertx, EngineControl engineControl, Consumer<Endpoint> onProbed) {
    this.vertx = vertx;
    this.loop = vertx.getOrCreateContext();
    this.engineControl = engineControl;
    this.onProbed = onProbed;
  }

  /** Starts probing an endpoint. */
  void probe(Endpoint endpoint) {
    loop.runOnContext(v -> probe(endpoint, MAX_TRIES));
  }

  private void probe(Endpoint endpoint, int triesLeft) {
    engineControl
        .report(endpoint)
        .onComplete(
            answer -> {
              if (answer.succeeded() || triesLeft == 1) {
                onProbed.accept(endpoint);
              } else {
                vertx.setTimer(RETRY_MS, id -> probe(endpoint, triesLeft - 1));
              }
            });
  }
}
