// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
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
  private final Ledger ledger = new Ledger(REVOKE_MS);
  private final AtomicBoolean isBack = new AtomicBoolean();
  private final SoakEndpoint endpoint =
      new SoakEndpoint(
          vertx,
          vertx.createNetClient(),
          ledger,
          new TicketUses(),
          "engine-1",
          "pool",
          0,
          back -> isBack.set(true));

  @AfterEach
  void close() throws Exception {
    soon(vertx.close());
  }

  private static <T> T soon(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(LONGEST_S, TimeUnit.SECONDS);
  }

  private Future<HttpClientResponse> ask(String path) {
    HostAddress at = endpoint.address();
    return client
        .request(HttpMethod.GET, at.port(), at.ip(), path)
        .compose(request -> request.putHeader("X-Request-Id", "s-1").send());
  }

  private HttpClientResponse ask() throws Exception {
    return soon(ask("/ask/1"));
  }

  /** Seen: one that had ended answered what was still on its way, and a host was blamed. */
  @Test
  void oneThatEndedAnswersNothingUntilItIsBack() throws Exception {
    soon(endpoint.listen());
    ask(Callers.DEADLY + 1);
    Promise<Boolean> answered = Promise.promise();
    vertx.setPeriodic(
        1,
        id -> {
          if (ledger.crashes().summary().startsWith("1 ") && vertx.cancelTimer(id)) {
            ask("/ask/1").map(true).otherwise(false).onComplete(answered);
          }
        });
    assertTrue(!soon(answered.future()) || isBack.get(), "answered though it had ended");
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
