// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import java.util.function.BooleanSupplier;
import org.fawndrum.state.HostAddress;

/** Health check for the load balancer: 200 if this host accepts callers, 503 otherwise. */
final class ReadinessServer {
  private static final int READY = 200;
  private static final int NOT_READY = 503;

  private final Vertx vertx;
  private final HostAddress address;
  private final BooleanSupplier ready;

  ReadinessServer(Vertx vertx, HostAddress address, BooleanSupplier ready) {
    this.vertx = vertx;
    this.address = address;
    this.ready = ready;
  }

  Future<HttpServer> listen() {
    return vertx
        .createHttpServer(new HttpServerOptions().setHost(address.ip()).setPort(address.port()))
        .requestHandler(
            request ->
                request.response().setStatusCode(ready.getAsBoolean() ? READY : NOT_READY).end())
        .listen();
  }
}
