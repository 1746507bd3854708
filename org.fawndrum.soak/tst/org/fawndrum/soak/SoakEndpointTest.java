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
import org.fawndrum.platform.standin.TicketUsage;
import org.fawndrum.state.HostAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Verifies that injected faults of the soak's endpoints are visible to hosts. */
class SoakEndpointTest {
  private static final long TIMEOUT_S = 20;
  private static final long REVOKE_MS = 5_000;

  private static final String SHUTTING_DOWN_HEADER = "Server-Leaving";

  private final Vertx vertx = Vertx.vertx();
  private final HttpClientAgent client = vertx.createHttpClient();
  private final PromiseChecker checker = new PromiseChecker(REVOKE_MS);
  private final AtomicBoolean hasRestarted = new AtomicBoolean();
  private final SoakEndpoint endpoint =
      new SoakEndpoint(
          vertx,
          vertx.createNetClient(),
          checker,
          new TicketUsage(),
          "engine-1",
          "pool",
          "zone-a",
          0,
          restarted -> hasRestarted.set(true));

  @AfterEach
  void close() throws Exception {
    await(vertx.close());
  }

  private static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(TIMEOUT_S, TimeUnit.SECONDS);
  }

  private Future<HttpClientResponse> get(String path) {
    HostAddress at = endpoint.address();
    return client
        .request(HttpMethod.GET, at.port(), at.ip(), path)
        .compose(request -> request.putHeader("X-Request-Id", "s-1").send());
  }

  private HttpClientResponse get() throws Exception {
    return await(get("/ask/1"));
  }

  /**
   * A crashed endpoint once answered a request in transit, which was reported as a host's fault.
   */
  @Test
  void crashedEndpointDoesNotAnswerUntilRestarted() throws Exception {
    await(endpoint.listen());
    get(Callers.CRASHING_PATH + 1);
    Promise<Boolean> answered = Promise.promise();
    vertx.setPeriodic(
        1,
        id -> {
          if (checker.crashes().summary().startsWith("1 ") && vertx.cancelTimer(id)) {
            get("/ask/1").map(true).otherwise(false).onComplete(answered);
          }
        });
    assertTrue(!await(answered.future()) || hasRestarted.get(), "answered although it had crashed");
  }

  /** For a day the soak's endpoints sent no draining notice, so nothing was checked. */
  @Test
  void drainingEndpointSendsNotice() throws Exception {
    await(endpoint.listen());
    assertNull(get().getHeader(SHUTTING_DOWN_HEADER));
    endpoint.announceDraining();
    assertEquals("1", get().getHeader(SHUTTING_DOWN_HEADER));
  }
}
