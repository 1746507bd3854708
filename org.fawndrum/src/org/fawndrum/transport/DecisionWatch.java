// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.function.Consumer;
import org.fawndrum.protocol.Json;
import org.fawndrum.protocol.OperatorMessages.DecisionView;

/**
 * Streams decisions to one operator: writes each decision that matches the filters as a line of
 * JSON until the connection closes. Decisions are skipped while the write queue is full.
 */
final class DecisionWatch {
  private final DecisionFeed feed;
  private final HttpServerResponse response;
  private final Context context;
  private final String workspace;
  private final String lengthClass;
  private final String outcome;

  DecisionWatch(DecisionFeed feed, HttpServerRequest request, HttpServerResponse response) {
    this.feed = feed;
    this.response = response;
    this.context = Vertx.currentContext();
    this.workspace = request.getParam("workspace");
    this.lengthClass = request.getParam("length");
    this.outcome = request.getParam("outcome");
  }

  void start() {
    response.setChunked(true).putHeader("content-type", "application/x-ndjson");
    Consumer<DecisionView> watcher =
        decision -> {
          if (matches(decision)) {
            context.runOnContext(v -> write(decision));
          }
        };
    response.closeHandler(v -> feed.unwatch(watcher));
    response.write("\n");
    feed.watch(watcher);
  }

  private boolean matches(DecisionView decision) {
    String length = RequestMetrics.lengthClass(decision.promptTokens());
    return (workspace == null || workspace.equals(decision.workspace()))
        && (lengthClass == null || lengthClass.equals(length))
        && (outcome == null
            || outcome.equals(decision.decision())
            || outcome.equals(decision.refusal()));
  }

  private void write(DecisionView decision) {
    if (!response.closed() && !response.writeQueueFull()) {
      response.write(Json.write(decision) + "\n");
    }
  }
}
