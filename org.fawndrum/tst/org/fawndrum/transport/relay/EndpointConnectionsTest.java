// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.EndpointKind;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Connections that are kept to an endpoint are those to its present start. */
class EndpointConnectionsTest {
  private static final long PATIENCE_S = 20;

  /** A connection is kept only a moment after its answer has come; so many moments are enough. */
  private static final int MOST_ASKED = 1_000;

  private final Vertx vertx = Vertx.vertx();
  private final AtomicInteger connections = new AtomicInteger();

  @AfterEach
  void close() throws Exception {
    soon(vertx.close());
  }

  private static <T> T soon(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(PATIENCE_S, TimeUnit.SECONDS);
  }

  private static Endpoint start(int port, long incarnation) {
    return new Endpoint(
        new HostIdentity("i-1", incarnation),
        "zone-a",
        EndpointKind.MODEL,
        new HostAddress("127.0.0.1", port),
        Set.of("pool"),
        0);
  }

  @Test
  void aConnectionToAnEarlierStartIsNotUsedAgain() throws Exception {
    int port =
        soon(vertx
                .createHttpServer()
                .connectionHandler(connection -> connections.incrementAndGet())
                .requestHandler(request -> request.response().end(request.getHeader("Host")))
                .listen(0, "127.0.0.1"))
            .actualPort();
    EndpointClient client = new EndpointClient(vertx);
    assertEquals("desk.example", ask(client, start(port, 1)));
    int before = untilOneIsUsedAgain(client, start(port, 1));
    ask(client, start(port, 2));
    assertEquals(before + 1, connections.get(), "one of the earlier start");
  }

  /** Asks until a kept connection serves, and returns how many were opened until then. */
  private int untilOneIsUsedAgain(EndpointClient client, Endpoint endpoint) throws Exception {
    for (int i = 0; i < MOST_ASKED; i++) {
      int before = connections.get();
      ask(client, endpoint);
      if (connections.get() == before) {
        return before;
      }
    }
    throw new AssertionError("no connection is kept");
  }

  private static String ask(EndpointClient client, Endpoint endpoint) throws Exception {
    return soon(
        client
            .request(endpoint, HttpMethod.GET, "/", true)
            .compose(request -> request.putHeader("Host", "desk.example").send())
            .compose(answer -> answer.body())
            .map(Object::toString));
  }
}
