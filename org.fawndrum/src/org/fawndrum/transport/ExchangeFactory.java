// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.PoolOptions;
import org.fawndrum.coordination.RequestFacts;
import org.fawndrum.transport.http.HttpClients;

/** Creates the exchange of each request. Safe for all threads. */
final class ExchangeFactory {
  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final int MAX_CONNECTIONS_PER_SERVICE = 256;

  private final EngineCalls engines;
  private final AttemptListener attemptListener;
  private final TokenListener tokenListener;
  private final HttpClientAgent plainClient;

  ExchangeFactory(
      Vertx vertx,
      EngineCalls engines,
      AttemptListener attemptListener,
      TokenListener tokenListener) {
    this.engines = engines;
    this.attemptListener = attemptListener;
    this.tokenListener = tokenListener;
    PoolOptions pool = new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS_PER_SERVICE);
    // Each call of a plain service has a connection of its own. Answers carry no id, and a service
    // may answer twice: on a kept connection, the second answer would be taken for that to the next
    // call. It may also close one just as a call is written to it, which leaves the outcome
    // unknown.
    this.plainClient =
        HttpClients.create(
            vertx,
            new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS).setKeepAlive(false),
            pool);
  }

  Exchange chat(
      RequestFacts facts,
      String prompt,
      boolean streamed,
      HttpServerResponse response,
      Context context) {
    return new ChatExchange(
        facts, prompt, streamed, response, context, engines, attemptListener, tokenListener);
  }

  Exchange plain(
      RequestFacts facts,
      PlainExchange.PlainCall call,
      HttpServerResponse response,
      Context context) {
    return new PlainExchange(facts, call, response, context, plainClient, attemptListener);
  }
}
