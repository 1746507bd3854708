// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.PoolOptions;
import org.fawndrum.coordination.RequestFacts;

/** Makes the exchange of each request. Safe for all threads. */
final class ExchangeFactory {
  private static final int CONNECT_MS = 1_000;
  private static final int CONNECTIONS_PER_SERVICE = 256;

  private final EngineCalls engines;
  private final AttemptListener attempts;
  private final StreamTimes times;
  private final HttpClientAgent kept;
  private final HttpClientAgent fresh;

  ExchangeFactory(Vertx vertx, EngineCalls engines, AttemptListener attempts, StreamTimes times) {
    this.engines = engines;
    this.attempts = attempts;
    this.times = times;
    PoolOptions pool = new PoolOptions().setHttp1MaxSize(CONNECTIONS_PER_SERVICE);
    this.kept = vertx.createHttpClient(new HttpClientOptions().setConnectTimeout(CONNECT_MS), pool);
    // A kept connection may be closed by the service just as a call is written to it, which leaves
    // the outcome unknown. Calls that may not be repeated therefore get a connection of their own.
    this.fresh =
        vertx.createHttpClient(
            new HttpClientOptions().setConnectTimeout(CONNECT_MS).setKeepAlive(false), pool);
  }

  Exchange chat(
      RequestFacts facts,
      String prompt,
      boolean streamed,
      HttpServerResponse response,
      Context context) {
    return new ChatExchange(facts, prompt, streamed, response, context, engines, attempts, times);
  }

  Exchange plain(
      RequestFacts facts,
      PlainExchange.PlainCall call,
      HttpServerResponse response,
      Context context) {
    HttpClientAgent client = facts.repeatable() ? kept : fresh;
    return new PlainExchange(facts, call, response, context, client, attempts);
  }
}
