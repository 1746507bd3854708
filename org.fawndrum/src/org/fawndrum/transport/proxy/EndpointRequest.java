// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.proxy;

import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.streams.WriteStream;

/**
 * A request on an open connection to an endpoint, direct or through another host. Nothing is sent
 * before the body is written. Confined to the event loop that opened it.
 */
public interface EndpointRequest {
  /** Returns the headers to send. */
  MultiMap headers();

  /** Returns the body; its end ends the request. */
  WriteStream<Buffer> body();

  /** Sets the handler that is called when the connection is lost. */
  void onLost(Handler<Throwable> handler);

  /** Returns the head of the answer; fails if the connection is lost before it arrives. */
  Future<EndpointAnswer> answer();

  /** Cancels the request and closes its connection. */
  void reset();

  /** Returns the name of the host that proxies the request; empty if it is direct. */
  String proxy();

  /** Returns whether the request goes through another host. */
  default boolean isProxied() {
    return !proxy().isEmpty();
  }

  /** Returns which use of its connection the request is. */
  default ConnectionUse use() {
    return ConnectionUse.UNKNOWN;
  }

  /** Returns a request over this host's own connection. */
  static EndpointRequest direct(HttpClientRequest request, ConnectionUse use) {
    return new DirectRequest(request, use);
  }
}
