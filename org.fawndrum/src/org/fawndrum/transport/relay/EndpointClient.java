// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import org.fawndrum.state.Endpoint;

/** The connections of this host to endpoints. */
final class EndpointClient {
  /**
   * A live endpoint accepts within a few milliseconds. One that does not is tried no longer than
   * leaves a short prompt time to come in time from another.
   */
  private static final int CONNECT_MS = 150;

  /** The most connections of this host to one endpoint; far above the streams that it works on. */
  private static final int CONNECTIONS_PER_ENDPOINT = 64;

  /** How long an unused connection is kept, in seconds; endpoints name shorter times themselves. */
  private static final int KEPT_SECONDS = 8;

  private final HttpClientAgent kept;
  private final HttpClientAgent fresh;

  EndpointClient(Vertx vertx) {
    PoolOptions pool = new PoolOptions().setHttp1MaxSize(CONNECTIONS_PER_ENDPOINT);
    HttpClientOptions options =
        new HttpClientOptions()
            .setConnectTimeout(CONNECT_MS)
            .setKeepAliveTimeout(KEPT_SECONDS)
            .setTcpNoDelay(true);
    this.kept = vertx.createHttpClient(options, pool);
    // A kept connection may be closed by the endpoint just as a request is written to it, which
    // leaves the outcome unknown. What may not be repeated therefore gets a connection of its own.
    HttpClientOptions once = new HttpClientOptions(options).setKeepAlive(false);
    this.fresh = vertx.createHttpClient(once, pool);
  }

  /** Gives a request whose connection is open; nothing has been written to it. */
  Future<HttpClientRequest> request(
      Endpoint endpoint, HttpMethod method, String uri, boolean repeatable) {
    RequestOptions options = EndpointConnections.options(endpoint).setMethod(method).setURI(uri);
    return (repeatable ? kept : fresh).request(options);
  }
}
