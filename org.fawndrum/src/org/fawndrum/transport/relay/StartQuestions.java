// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.function.Consumer;
import org.fawndrum.state.Endpoint;

/**
 * Asks endpoints whether their newest start leaves. Their answers say so in the head, which is
 * heard before the question counts as answered. Safe for all threads; it never blocks.
 */
final class StartQuestions {
  /** The pause before an endpoint that did not answer is asked again, in milliseconds. */
  static final long AGAIN_MS = 500;

  /** After so many questions without an answer the start is used like any other. */
  static final int MOST_TRIES = 10;

  private final Vertx vertx;
  private final Context loop;
  private final EngineOrders orders;
  private final Consumer<Endpoint> asked;

  /**
   * Makes the questions of one host.
   *
   * @param orders sends them
   * @param asked takes each endpoint that was asked; must not block
   */
  StartQuestions(Vertx vertx, EngineOrders orders, Consumer<Endpoint> asked) {
    this.vertx = vertx;
    this.loop = vertx.getOrCreateContext();
    this.orders = orders;
    this.asked = asked;
  }

  /** Begins to ask an endpoint. */
  void ask(Endpoint endpoint) {
    loop.runOnContext(v -> ask(endpoint, MOST_TRIES));
  }

  private void ask(Endpoint endpoint, int tries) {
    orders
        .report(endpoint)
        .onComplete(
            answer -> {
              if (answer.succeeded() || tries == 1) {
                asked.accept(endpoint);
              } else {
                vertx.setTimer(AGAIN_MS, id -> ask(endpoint, tries - 1));
              }
            });
  }
}
