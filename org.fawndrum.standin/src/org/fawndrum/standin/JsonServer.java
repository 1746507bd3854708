// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.standin;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import org.fawndrum.protocol.Json;

/** A minimal HTTP server with one handler per method and path. Confined to one event loop. */
final class JsonServer {
  private static final int NOT_FOUND = 404;
  private static final int BAD_REQUEST = 400;

  private final HttpServer server;
  private final Map<String, Route> routes = new HashMap<>();
  private Route fallback = (request, body) -> status(request.response(), NOT_FOUND);

  /** Handles a request whose body was received completely. */
  interface Route extends BiConsumer<HttpServerRequest, Buffer> {}

  /** Handles a request whose body was parsed as a message. */
  interface MessageRoute<T> extends BiConsumer<HttpServerRequest, T> {}

  JsonServer(Vertx vertx, String ip, int port) {
    server =
        vertx
            .createHttpServer(new HttpServerOptions().setHost(ip).setPort(port))
            .requestHandler(this::handle);
  }

  JsonServer on(String methodAndPath, Route route) {
    routes.put(methodAndPath, route);
    return this;
  }

  <T> JsonServer on(String methodAndPath, Class<T> type, MessageRoute<T> route) {
    return on(
        methodAndPath,
        (request, body) -> {
          T message;
          try {
            message = Json.read(body.getBytes(), type);
          } catch (IOException e) {
            status(request.response(), BAD_REQUEST);
            return;
          }
          route.accept(request, message);
        });
  }

  JsonServer fallback(Route route) {
    fallback = route;
    return this;
  }

  private void handle(HttpServerRequest request) {
    Route route = routes.getOrDefault(request.method() + " " + request.path(), fallback);
    request.body().onSuccess(body -> route.accept(request, body));
  }

  Future<HttpServer> listen() {
    return server.listen();
  }

  Future<Void> close() {
    return server.close();
  }

  int port() {
    return server.actualPort();
  }

  static void answer(HttpServerResponse response, Object message) {
    response.putHeader("content-type", "application/json").end(Json.write(message));
  }

  static void status(HttpServerResponse response, int code) {
    response.setStatusCode(code).end("{}");
  }

  static long number(HttpServerRequest request, String name, long defaultValue) {
    String text = request.getParam(name);
    try {
      return text == null ? defaultValue : Long.parseLong(text);
    } catch (NumberFormatException e) {
      return defaultValue;
    }
  }
}
