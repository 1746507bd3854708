// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.fawndrum.coordination.link.EndpointLinks;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.EndpointKind;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.transport.HostClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Pooled connections to an endpoint are those to its current incarnation. */
class EndpointConnectionsTest {
  private static final long TIMEOUT_S = 20;

  /**
   * Maximum number of requests until one reuses a connection: the client pools a connection a
   * moment after its answer arrived, so the next request may still open a new one.
   */
  private static final int MAX_REQUESTS = 1_000;

  private final Vertx vertx = Vertx.vertx();
  private final AtomicInteger connections = new AtomicInteger();

  @AfterEach
  void close() throws Exception {
    await(vertx.close());
  }

  private static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(TIMEOUT_S, TimeUnit.SECONDS);
  }

  private static Endpoint endpoint(int port, long incarnation) {
    return new Endpoint(
        new HostIdentity("i-1", incarnation),
        "zone-a",
        EndpointKind.MODEL,
        new HostAddress("127.0.0.1", port),
        Set.of("pool"),
        0);
  }

  @Test
  void connectionToAPreviousIncarnationIsNotReused() throws Exception {
    int port =
        await(
                vertx
                    .createHttpServer()
                    .connectionHandler(connection -> connections.incrementAndGet())
                    .requestHandler(request -> request.response().end(request.getHeader("Host")))
                    .listen(0, "127.0.0.1"))
            .actualPort();
    HostLog log = new HostLog("org.fawndrum.test");
    LinkLog links =
        new LinkLog(new EndpointLinks(), new MetricRegistry(), HostClock.system(log), log);
    EndpointClient client = new EndpointClient(vertx, links);
    assertEquals("desk.example", sendRequest(client, endpoint(port, 1)));
    int before = untilConnectionIsReused(client, endpoint(port, 1));
    sendRequest(client, endpoint(port, 2));
    assertEquals(before + 1, connections.get(), "reused a connection to the previous incarnation");
  }

  /**
   * Sends requests until a pooled connection is reused, and returns how many were opened until
   * then.
   */
  private int untilConnectionIsReused(EndpointClient client, Endpoint endpoint) throws Exception {
    for (int i = 0; i < MAX_REQUESTS; i++) {
      int before = connections.get();
      sendRequest(client, endpoint);
      if (connections.get() == before) {
        return before;
      }
    }
    throw new AssertionError("no connection is pooled");
  }

  private static String sendRequest(EndpointClient client, Endpoint endpoint) throws Exception {
    return await(
        client
            .request(endpoint, 0, HttpMethod.GET, "/", true)
            .compose(request -> request.putHeader("Host", "desk.example").send())
            .compose(answer -> answer.body())
            .map(Object::toString));
  }
}
