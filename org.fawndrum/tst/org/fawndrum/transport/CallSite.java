// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.fawndrum.coordination.Action;
import org.fawndrum.coordination.AttemptEvent;
import org.fawndrum.coordination.AttemptId;
import org.fawndrum.coordination.RequestFacts;
import org.fawndrum.coordination.RequestTarget;
import org.fawndrum.coordination.limit.EndpointPermits;
import org.fawndrum.state.CallerGroup;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.EndpointKind;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.LatencyTargets;

/**
 * Callers, and the calls that a host makes to a plain service for them. A call that is not answered
 * ends with {@link #LOST} or {@link #NOT_RUN}. Thread-safe.
 */
final class CallSite implements AutoCloseable {
  /** The status of a call whose attempt was lost. */
  static final int LOST = 502;

  /** The status of a call that its service refused without running it. */
  static final int NOT_RUN = 503;

  private static final HostIdentity HOST = new HostIdentity("host-a", 1);
  private static final long TIMEOUT_S = 20;

  /** Far more than a call over loopback takes. */
  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(10);

  private final Vertx vertx = Vertx.vertx();
  private final Map<AttemptId, HttpServerRequest> open = new ConcurrentHashMap<>();
  private final ExchangeFactory exchanges =
      new ExchangeFactory(
          vertx, new EngineCalls(vertx, 1_000), this::attemptEnded, (facts, tokens) -> {});
  private final Buffer body;
  private final int servicePort;
  private final HttpServer callers;

  /**
   * Starts to listen for callers.
   *
   * @param servicePort the port of the service on loopback
   * @param body the body of each call to it
   */
  CallSite(int servicePort, Buffer body) throws Exception {
    this.servicePort = servicePort;
    this.body = body;
    this.callers =
        vertx
            .createHttpServer()
            .requestHandler(this::handle)
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .get(TIMEOUT_S, TimeUnit.SECONDS);
  }

  private void handle(HttpServerRequest request) {
    String id = request.path().substring(1);
    AttemptId attempt = new AttemptId(HOST, id, 1);
    open.put(attempt, request);
    exchanges
        .plain(
            facts(id),
            new PlainExchange.PlainCall(request.method(), request.uri(), request.headers(), body),
            request.response(),
            vertx.getOrCreateContext())
        .send(
            new Action.Send(
                attempt, endpoint(), 0, Long.MAX_VALUE, EndpointPermits.NO_PERMIT, List.of()));
  }

  private void attemptEnded(AttemptId attempt, AttemptEvent event) {
    if (event != AttemptEvent.ANSWERED) {
      int status = event == AttemptEvent.REFUSED_BY_ENDPOINT ? NOT_RUN : LOST;
      open.get(attempt).response().setStatusCode(status).end();
    }
  }

  private static RequestFacts facts(String id) {
    return new RequestFacts(
        id,
        new CallerGroup("shops", "lookups"),
        new RequestTarget(EndpointKind.PLAIN, "ordering"),
        0,
        0,
        0,
        0,
        true,
        List.of(),
        LatencyTargets.NONE);
  }

  private Endpoint endpoint() {
    return new Endpoint(
        new HostIdentity("plain-1", 1),
        "a",
        EndpointKind.PLAIN,
        new HostAddress("127.0.0.1", servicePort),
        Set.of("ordering"),
        0);
  }

  /** Sends a request that may be repeated; returns what its caller gets, or fails in time. */
  HttpResponse<String> send(String id) throws Exception {
    URI uri = URI.create("http://127.0.0.1:" + callers.actualPort() + "/" + id);
    return HttpClient.newHttpClient()
        .send(
            HttpRequest.newBuilder(uri).timeout(ANSWER_TIMEOUT).build(),
            HttpResponse.BodyHandlers.ofString());
  }

  @Override
  public void close() {
    vertx
        .close()
        .toCompletionStage()
        .toCompletableFuture()
        .orTimeout(TIMEOUT_S, TimeUnit.SECONDS)
        .join();
  }
}
