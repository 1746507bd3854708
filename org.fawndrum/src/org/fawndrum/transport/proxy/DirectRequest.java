// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.proxy;

import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.streams.WriteStream;

/** A request over this host's own connection. */
record DirectRequest(HttpClientRequest request, ConnectionUse use) implements EndpointRequest {
  @Override
  public MultiMap headers() {
    return request.headers();
  }

  @Override
  public WriteStream<Buffer> body() {
    return request;
  }

  @Override
  public void onLost(Handler<Throwable> handler) {
    request.exceptionHandler(handler);
  }

  @Override
  public Future<EndpointAnswer> answer() {
    return request.response().map(EndpointAnswer::of);
  }

  @Override
  public void reset() {
    request.reset();
  }

  @Override
  public String proxy() {
    return "";
  }
}
