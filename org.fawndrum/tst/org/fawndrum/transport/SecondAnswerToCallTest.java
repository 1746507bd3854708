// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
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
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Plain services that answer twice: their answers carry no id. */
class SecondAnswerToCallTest {
  private static final HostIdentity HOST = new HostIdentity("host-a", 1);
  private static final long TIMEOUT_S = 20;
  private static final int LOST = 502;

  private final Vertx vertx = Vertx.vertx();
  private final Map<AttemptId, HttpServerRequest> open = new ConcurrentHashMap<>();
  private final ExchangeFactory exchanges =
      new ExchangeFactory(
          vertx, new EngineCalls(vertx, 1_000), this::attemptEnded, (facts, tokens) -> {});
  private StutteringServer service;
  private HttpServer callers;

  @BeforeEach
  void start() throws Exception {
    service = new StutteringServer();
    callers =
        vertx
            .createHttpServer()
            .requestHandler(this::handle)
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .get(TIMEOUT_S, TimeUnit.SECONDS);
  }

  @AfterEach
  void close() throws Exception {
    vertx.close().toCompletionStage().toCompletableFuture().get(TIMEOUT_S, TimeUnit.SECONDS);
    service.close();
  }

  private void handle(HttpServerRequest request) {
    String id = request.path().substring(1);
    AttemptId attempt = new AttemptId(HOST, id, 1);
    open.put(attempt, request);
    exchanges
        .plain(
            facts(id),
            new PlainExchange.PlainCall(
                request.method(), request.uri(), request.headers(), Buffer.buffer()),
            request.response(),
            vertx.getOrCreateContext())
        .send(
            new Action.Send(
                attempt, endpoint(), 0, Long.MAX_VALUE, EndpointPermits.NO_PERMIT, List.of()));
  }

  private void attemptEnded(AttemptId attempt, AttemptEvent event) {
    if (event != AttemptEvent.ANSWERED) {
      open.get(attempt).response().setStatusCode(LOST).end();
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
        new HostAddress("127.0.0.1", service.port()),
        Set.of("ordering"),
        0);
  }

  /** Sends a request that may be repeated. */
  private HttpResponse<String> send(String id) throws Exception {
    URI uri = URI.create("http://127.0.0.1:" + callers.actualPort() + "/" + id);
    HttpResponse<String> answer =
        HttpClient.newHttpClient()
            .send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString());
    Thread.sleep(StutteringServer.BETWEEN_MS);
    return answer;
  }

  /** Callers got the second answer to an earlier request in the place of their own. */
  @Test
  void aSecondAnswerIsNotThatToTheNextRequest() throws Exception {
    service.setAnswer(StutteringServer.answer("200 OK", "first"));
    assertEquals("first", send("r-1").body());
    service.setAnswer(StutteringServer.answer("409 Conflict", "second"));
    HttpResponse<String> next = send("r-2");
    assertEquals("second", next.body());
    assertEquals(409, next.statusCode());
  }

  /** Callers got the status of an answer that was broken off with the body of the next one. */
  @Test
  void aBrokenAnswerDoesNotLendItsStatusToTheNextAnswer() throws Exception {
    for (String begun : List.of("HTTP/1.1 200 O", "HTTP/1.1 200 OK\r\nX-Other: ")) {
      service.setAnswer(begun + StutteringServer.answer("409 Conflict", "second"));
      assertNotEquals(200, send("r-1").statusCode());
    }
  }
}
