// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.EndpointKind;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.transport.proxy.EndpointRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** An endpoint's answer to an earlier question proves nothing about what it did afterwards. */
class LivenessProofsTest {
  private static final Endpoint ENDPOINT =
      new Endpoint(
          new HostIdentity("i-0", 1),
          "zone-a",
          EndpointKind.PLAIN,
          new HostAddress("127.0.0.1", 1),
          Set.of("orders"),
          0);

  private final Vertx vertx = Vertx.vertx();
  private final Context loop = vertx.getOrCreateContext();
  private final List<Promise<EndpointRequest>> opened = new CopyOnWriteArrayList<>();
  private final LivenessProofs proofs =
      new LivenessProofs(
          (endpoint, call) -> {
            Promise<EndpointRequest> request = Promise.promise();
            opened.add(request);
            return request.future();
          },
          new FixedCodec(),
          service -> "/health");

  @AfterEach
  void close() throws Exception {
    vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  private Future<Void> prove() throws Exception {
    CompletableFuture<Future<Void>> asked = new CompletableFuture<>();
    loop.runOnContext(v -> asked.complete(proofs.prove(ENDPOINT)));
    return asked.get(10, TimeUnit.SECONDS);
  }

  /** Has a question fail. */
  private void refuse(int question) {
    opened.get(question).fail("refused");
  }

  private static void assertFails(Future<Void> proof) throws Exception {
    CompletableFuture<Boolean> failed = new CompletableFuture<>();
    proof.onComplete(result -> failed.complete(result.failed()));
    assertTrue(failed.get(10, TimeUnit.SECONDS));
  }

  @Test
  void aQuestionThatWasSentBeforeAnAnswerEndedProvesNothingAboutIt() throws Exception {
    Future<Void> first = prove();
    Future<Void> second = prove();
    Future<Void> third = prove();
    assertEquals(1, opened.size(), "a question to an endpoint that has not answered the last one");
    refuse(0);
    assertFails(first);
    assertEquals(2, opened.size(), "no question of its own for answers that ended later");
    assertFalse(second.isComplete());
    refuse(1);
    assertFails(second);
    assertFails(third);
    assertEquals(2, opened.size(), "answers that ended together did not share a question");
  }

  @Test
  void anEndpointIsAskedAgainOnceAllQuestionsAreAnswered() throws Exception {
    Future<Void> first = prove();
    refuse(0);
    assertFails(first);
    Future<Void> later = prove();
    assertEquals(2, opened.size());
    refuse(1);
    assertFails(later);
  }
}
