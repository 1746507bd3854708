// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.standin;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;

/** Base class of stand-ins with one HTTP server; the subclass's constructor adds the routes. */
abstract class JsonStandin {
  final JsonServer server;

  JsonStandin(Vertx vertx, String ip, int port) {
    this.server = new JsonServer(vertx, ip, port);
  }

  /** Starts listening. */
  public Future<HttpServer> listen() {
    return server.listen();
  }

  /** Stops listening. */
  public Future<Void> close() {
    return server.close();
  }

  /** Returns the port on which the stand-in listens. */
  public int port() {
    return server.port();
  }
}
