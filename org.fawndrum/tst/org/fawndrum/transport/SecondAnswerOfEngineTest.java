// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.fawndrum.protocol.EngineMessages.Holdings;
import org.fawndrum.protocol.EngineMessages.StreamEvent;
import org.fawndrum.protocol.EngineMessages.StreamOrder;
import org.fawndrum.protocol.EngineMessages.Swept;
import org.fawndrum.protocol.Json;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.EndpointKind;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Model engines that answer twice: heads of their streams and answers to commands carry no id. */
class SecondAnswerOfEngineTest {
  private static final long TIMEOUT_S = 20;

  /** Maximum time between two parts of an answer, in milliseconds. */
  private static final long SILENCE_MS = 1_000;

  private static final String NOT_RUN =
      StutteringServer.answer("503 Service Unavailable", "{\"ran\":\"no\"}");
  private static final String SWEPT =
      StutteringServer.answer("200 OK", Json.write(new Swept(1, 1)));
  private static final String FAILED_ANSWER = StutteringServer.answer("500 Failed", "");

  private final Vertx vertx = Vertx.vertx();
  private final EngineCalls engines = new EngineCalls(vertx, SILENCE_MS);
  private StutteringServer engine;

  /** What a stream ended with, or began with. */
  private enum Outcome {
    NOT_RUN,
    EVENT,
    FAILED
  }

  @BeforeEach
  void start() throws Exception {
    engine = new StutteringServer();
  }

  @AfterEach
  void close() throws Exception {
    vertx.close().toCompletionStage().toCompletableFuture().get(TIMEOUT_S, TimeUnit.SECONDS);
    engine.close();
  }

  private Endpoint endpoint() {
    return new Endpoint(
        new HostIdentity("engine-1", 1),
        "a",
        EndpointKind.MODEL,
        new HostAddress("127.0.0.1", engine.port()),
        Set.of("m"),
        1);
  }

  /** Runs a stream; returns the first that is known of it. */
  private Outcome stream(String attempt) throws Exception {
    CompletableFuture<Outcome> outcome = new CompletableFuture<>();
    EngineStream.Listener listener =
        new EngineStream.Listener() {
          @Override
          public void event(StreamEvent event) {
            outcome.complete(Outcome.EVENT);
          }

          @Override
          public void notRun() {
            outcome.complete(Outcome.NOT_RUN);
          }

          @Override
          public void failed(boolean mayHaveBeenSent) {
            outcome.complete(Outcome.FAILED);
          }
        };
    StreamOrder order =
        new StreamOrder(attempt, "r-1", "host-a", 1, "m", "prompt", 1, 1, 0, 0, List.of());
    vertx
        .getOrCreateContext()
        .runOnContext(v -> engines.stream(listener).start(endpoint().address(), order));
    Outcome first = outcome.get(TIMEOUT_S, TimeUnit.SECONDS);
    Thread.sleep(StutteringServer.BETWEEN_MS);
    return first;
  }

  private static String answerOf(String attempt) {
    String event = Json.write(new StreamEvent(attempt, 0L, "text", null, null));
    return StutteringServer.answer("200 OK", "data: " + event + "\n\n");
  }

  /** Requests that ran counted as not run: an older refusal came in the place of their answer. */
  @Test
  void aSecondRefusalIsNotThatOfTheNextStream() throws Exception {
    engine.setAnswer(NOT_RUN);
    assertEquals(Outcome.NOT_RUN, stream("a/1"));
    engine.setAnswer(answerOf("a/2"));
    assertNotEquals(Outcome.NOT_RUN, stream("a/2"));
  }

  /** Requests that ran counted as not run: the answer began with a refusal that was broken off. */
  @Test
  void aBrokenRefusalIsNotThatOfTheNextAnswer() throws Exception {
    for (String begun : List.of("HTTP/1.1 503 Serv", "HTTP/1.1 503 Gone\r\nX-Other: ")) {
      engine.setAnswer(begun + answerOf("a/1"));
      assertNotEquals(Outcome.NOT_RUN, stream("a/1"));
    }
  }

  private boolean isAnswered(HttpMethod method, String path, Class<?> type) throws Exception {
    try {
      engines.read(endpoint(), method, path, "{}", type).get(TIMEOUT_S, TimeUnit.SECONDS);
      return true;
    } catch (ExecutionException e) {
      return false;
    } finally {
      Thread.sleep(StutteringServer.BETWEEN_MS);
    }
  }

  /** Memory of ended daemons counted as freed that an engine had not freed. */
  @Test
  void aSecondAnswerToACommandIsNotThatToTheNextOne() throws Exception {
    engine.setAnswer(SWEPT);
    assertTrue(isAnswered(HttpMethod.POST, "/v1/sweep", Swept.class));
    engine.setAnswer(FAILED_ANSWER);
    assertFalse(isAnswered(HttpMethod.POST, "/v1/sweep", Swept.class), "freed");
  }

  /** Engines counted as holding nothing: the second answer to a command was read as a list. */
  @Test
  void aSecondAnswerToACommandIsNoListOfHoldings() throws Exception {
    engine.setAnswer(SWEPT);
    assertTrue(isAnswered(HttpMethod.POST, "/v1/sweep", Swept.class));
    engine.setAnswer(FAILED_ANSWER);
    assertFalse(isAnswered(HttpMethod.GET, "/v1/holdings", Holdings.class), "holds nothing");
  }

  /** Hosts placed by the load that an engine seemed to report with its answer to a command. */
  @Test
  void aSecondAnswerToACommandIsNoLoad() throws Exception {
    engine.setAnswer(SWEPT);
    assertTrue(isAnswered(HttpMethod.POST, "/v1/sweep", Swept.class));
    engine.setAnswer(FAILED_ANSWER);
    assertTrue(engines.load(endpoint()).handle((load, failure) -> load == null).get(), "a load");
  }

  /** Engines counted as swept though the answer was a failure that followed a broken success. */
  @Test
  void aBrokenAnswerDoesNotLendItsStatusToTheNextOne() throws Exception {
    String failure = StutteringServer.answer("500 Failed", Json.write(new Swept(1, 1)));
    for (String begun : List.of("HTTP/1.1 200 O", "HTTP/1.1 200 OK\r\nX-Other: ")) {
      engine.setAnswer(begun + failure);
      assertFalse(isAnswered(HttpMethod.POST, "/v1/sweep", Swept.class), "freed");
    }
  }
}
