// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.http;

import io.netty.channel.ChannelPipeline;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.impl.HttpClientConnectionInternal;

/**
 * Creates the HTTP clients with which a host sends requests. On their connections, an answer that
 * is not known to be whole fails before it ends, and one with a damaged head before it begins,
 * whoever reads it.
 */
public final class HttpClients {
  /** The name of the handler that writes requests and parses answers. */
  private static final String PARSER = "codec";

  /** The name of the HTTP client's own handler, which receives decoded answers. */
  private static final String CLIENT = "handler";

  private HttpClients() {}

  /** Creates a client with the usual pool of connections. */
  public static HttpClientAgent create(Vertx vertx, HttpClientOptions options) {
    return create(vertx, options, new PoolOptions());
  }

  /** Creates a client. */
  public static HttpClientAgent create(
      Vertx vertx, HttpClientOptions options, PoolOptions poolOptions) {
    return vertx
        .httpClientBuilder()
        .with(options)
        .with(poolOptions)
        .withConnectHandler(HttpClients::opened)
        .build();
  }

  /** Called before a request is written to a new connection. */
  private static void opened(HttpConnection connection) {
    ChannelPipeline pipeline =
        ((HttpClientConnectionInternal) connection).channelHandlerContext().pipeline();
    AnswerHeads heads = new AnswerHeads();
    pipeline.addBefore(PARSER, null, heads);
    pipeline.addBefore(CLIENT, null, heads.ends());
    pipeline.addBefore(CLIENT, null, new InterimAnswers());
    pipeline.addBefore(CLIENT, null, new RequestWrites());
  }
}
