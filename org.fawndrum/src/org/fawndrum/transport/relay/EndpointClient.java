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
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.util.Optional;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.HostAddress;
import org.fawndrum.transport.http.HttpClients;

/** The HTTP connections from this host to endpoints. */
final class EndpointClient {
  /**
   * Connect timeout in milliseconds. A live endpoint accepts within a few milliseconds; the limit
   * leaves enough time to complete a short prompt on another endpoint.
   */
  private static final int CONNECT_TIMEOUT_MS = 150;

  /** Maximum connections to one endpoint; far above the streams that an endpoint runs at a time. */
  private static final int MAX_CONNECTIONS_PER_ENDPOINT = 64;

  /**
   * How long an idle connection is kept, in seconds; endpoints announce shorter times themselves.
   */
  private static final int KEEP_ALIVE_SECONDS = 8;

  /**
   * What the operating system queues for one connection, in bytes; with more, an endpoint that does
   * not read a body would be noticed late.
   */
  private static final int SEND_BUFFER_BYTES = 64 << 10;

  private final LinkLog linkLog;
  private final NetClient probeClient;
  private final HttpClientAgent pooledClient;
  private final HttpClientAgent unpooledClient;

  EndpointClient(Vertx vertx, LinkLog linkLog) {
    this.linkLog = linkLog;
    PoolOptions pool = new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS_PER_ENDPOINT);
    HttpClientOptions options =
        new HttpClientOptions()
            .setConnectTimeout(CONNECT_TIMEOUT_MS)
            .setKeepAliveTimeout(KEEP_ALIVE_SECONDS)
            .setSendBufferSize(SEND_BUFFER_BYTES)
            .setTcpNoDelay(true);
    this.probeClient =
        vertx.createNetClient(new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS));
    this.pooledClient = HttpClients.create(vertx, options, pool);
    // An endpoint may close a pooled connection just as a request is written to it, which leaves
    // the outcome unknown. Requests that must not be repeated therefore use a new connection.
    HttpClientOptions unpooledOptions = new HttpClientOptions(options).setKeepAlive(false);
    this.unpooledClient = HttpClients.create(vertx, unpooledOptions, pool);
  }

  /**
   * Connects to an endpoint and closes the connection. Returns why the endpoint accepts none; empty
   * if it does. Never fails; completes within the connect timeout.
   */
  Future<Optional<ConnectFailure>> check(Endpoint endpoint) {
    HostAddress address = endpoint.address();
    linkLog.checked();
    return probeClient
        .connect(address.port(), address.ip())
        .transform(
            connected -> {
              if (connected.succeeded()) {
                connected.result().close();
                return Future.succeededFuture(Optional.empty());
              }
              return Future.succeededFuture(Optional.of(ConnectFailure.of(connected.cause())));
            });
  }

  /**
   * Returns a request on an open connection; nothing has been written to it.
   *
   * @param losses how often the link to the endpoint was lost: connections from before the last
   *     loss are not used
   */
  Future<HttpClientRequest> request(
      Endpoint endpoint, int losses, HttpMethod method, String uri, boolean repeatable) {
    RequestOptions options =
        EndpointConnections.options(endpoint, losses).setMethod(method).setURI(uri);
    return (repeatable ? pooledClient : unpooledClient)
        .request(options)
        .onFailure(cause -> linkLog.connectFailed(endpoint.name(), cause));
  }
}
