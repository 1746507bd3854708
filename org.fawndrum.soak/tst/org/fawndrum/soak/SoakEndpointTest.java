// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import java.util.concurrent.TimeUnit;
import org.fawndrum.platform.standin.TicketUses;
import org.fawndrum.state.HostAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** What an endpoint of the soak shows to hosts, so that checks see the faults they are for. */
class SoakEndpointTest {
  private static final long LONGEST_S = 20;
  private static final long REVOKE_MS = 5_000;
  private static final String LEAVING = "Server-Leaving";

  private final Vertx vertx = Vertx.vertx();
  private final HttpClientAgent client = vertx.createHttpClient();
  private final SoakEndpoint endpoint =
      new SoakEndpoint(
          vertx,
          vertx.createNetClient(),
          new Ledger(REVOKE_MS),
          new TicketUses(),
          "engine-1",
          "pool",
          0,
          back -> {});

  @AfterEach
  void close() throws Exception {
    soon(vertx.close());
  }

  private static <T> T soon(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(LONGEST_S, TimeUnit.SECONDS);
  }

  private HttpClientResponse ask() throws Exception {
    String[] parts = endpoint.entry("ready").split("\"Address\":\"|\",\"Zone\"")[1].split(":");
    HostAddress at = new HostAddress(parts[0], Integer.parseInt(parts[1]));
    return soon(
        client
            .request(HttpMethod.GET, at.port(), at.ip(), "/ask/1")
            .compose(request -> request.putHeader("X-Request-Id", "s-1").send()));
  }

  /** Seen: for a day no endpoint of the soak said in its answers that it leaves. */
  @Test
  void oneThatLeavesSaysSoInItsAnswers() throws Exception {
    soon(endpoint.listen());
    assertNull(ask().getHeader(LEAVING));
    endpoint.sayLeaving();
    assertEquals("1", ask().getHeader(LEAVING));
  }
}
