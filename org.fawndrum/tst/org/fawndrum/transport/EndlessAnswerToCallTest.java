// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.fawndrum.protocol.EngineMessages.StreamEvent;
import org.fawndrum.protocol.EngineMessages.StreamOrder;
import org.fawndrum.protocol.EngineMessages.Swept;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.EndpointKind;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.transport.EndlessServer.Kind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Services, engines and a platform of the project's own interface that send bytes without end. */
class EndlessAnswerToCallTest {
  private static final long TIMEOUT_S = 10;
  private static final long SILENCE_MS = 1_000;

  /** The limit of one answer, and what both systems and the client hold of a connection. */
  private static final long MAX_ANSWER_BYTES = 24 << 20;

  /** The same for an answer to a command or a load, which is small. */
  private static final long MAX_COMMAND_BYTES = 12 << 20;

  /** The same for a read of the log. */
  private static final long MAX_BATCH_BYTES = 96 << 20;

  private static final long POLL_MS = 5;

  private final Vertx vertx = Vertx.vertx();

  @AfterEach
  void close() throws Exception {
    vertx.close().toCompletionStage().toCompletableFuture().get(TIMEOUT_S, TimeUnit.SECONDS);
  }

  private static void assertEnded(EndlessServer server, long maxBytes) throws Exception {
    long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
    while (!server.allClosed() && System.nanoTime() < endNanos) {
      Thread.sleep(POLL_MS);
    }
    assertTrue(server.allClosed(), "its connection is open");
    assertTrue(server.largestAnswer() <= maxBytes, server.largestAnswer() + " bytes were taken");
  }

  private static void assertFails(CompletableFuture<?> call) throws Exception {
    boolean failed =
        call.handle((answer, failure) -> failure != null).get(TIMEOUT_S, TimeUnit.SECONDS);
    assertTrue(failed, "answered");
  }

  /** A host kept the answer of a service as long as bytes came. */
  @ParameterizedTest
  @EnumSource
  void aCallFailsAndIsNotKept(Kind kind) throws Exception {
    try (EndlessServer service = new EndlessServer(kind);
        CallSite site = new CallSite(service.port(), Buffer.buffer())) {
      assertEquals(CallSite.LOST, site.send("r-1").statusCode());
      assertEnded(service, MAX_ANSWER_BYTES);
    }
  }

  private static Endpoint engine(EndlessServer at) {
    HostAddress address = new HostAddress("127.0.0.1", at.port());
    return new Endpoint(
        new HostIdentity("engine-1", 1), "a", EndpointKind.MODEL, address, Set.of("m"), 1);
  }

  /** A host kept the answer of an engine to a command, or its load, as long as bytes came. */
  @ParameterizedTest
  @EnumSource
  void aCommandAndALoadFailAndAreNotKept(Kind kind) throws Exception {
    EngineCalls engines = new EngineCalls(vertx, SILENCE_MS);
    try (EndlessServer engine = new EndlessServer(kind)) {
      assertFails(engines.read(engine(engine), HttpMethod.POST, "/v1/sweep", "{}", Swept.class));
      assertFails(engines.load(engine(engine)));
      assertEnded(engine, MAX_COMMAND_BYTES);
    }
  }

  /** A host kept the answer of the platform as long as bytes came. */
  @ParameterizedTest
  @EnumSource
  void aCallToThePlatformFailsAndIsNotKept(Kind kind) throws Exception {
    try (EndlessServer platform = new EndlessServer(kind)) {
      HostAddress address = new HostAddress("127.0.0.1", platform.port());
      HttpPlatform client = new HttpPlatform(vertx, address, 0);
      assertFails(client.append(new byte[] {1}));
      assertEnded(platform, MAX_ANSWER_BYTES);
    }
  }

  /** A host kept a page of the platform's log as long as bytes came. */
  @ParameterizedTest
  @EnumSource(names = {"CHUNKS", "UNFRAMED_BODY", "LONG_BODY"})
  void aReadOfTheLogFailsAndIsNotKept(Kind kind) throws Exception {
    try (EndlessServer platform = new EndlessServer(kind)) {
      HostAddress address = new HostAddress("127.0.0.1", platform.port());
      HttpPlatform client = new HttpPlatform(vertx, address, 0);
      assertFails(client.read(0, 1));
      assertEnded(platform, MAX_BATCH_BYTES);
    }
  }

  /** A host read on for as long as lines came that are no events, or answers before the answer. */
  @ParameterizedTest
  @EnumSource
  void aStreamFails(Kind kind) throws Exception {
    EngineCalls engines = new EngineCalls(vertx, SILENCE_MS);
    try (EndlessServer engine = new EndlessServer(kind)) {
      CompletableFuture<Boolean> mayHaveRun = new CompletableFuture<>();
      EngineStream stream = engines.stream(new FailureListener(mayHaveRun));
      StreamOrder order =
          new StreamOrder("a/1", "r-1", "host-a", 1, "m", "prompt", 1, 1, 0, 0, List.of());
      vertx.getOrCreateContext().runOnContext(v -> stream.start(engine(engine).address(), order));
      assertTrue(mayHaveRun.get(TIMEOUT_S, TimeUnit.SECONDS));
      assertEnded(engine, MAX_COMMAND_BYTES);
    }
  }

  /** Waits for the failure of a stream. */
  private record FailureListener(CompletableFuture<Boolean> mayHaveRun)
      implements EngineStream.Listener {
    @Override
    public void event(StreamEvent event) {
      mayHaveRun.completeExceptionally(new IllegalStateException("an event"));
    }

    @Override
    public void notRun() {
      mayHaveRun.complete(false);
    }

    @Override
    public void failed(boolean mayHaveBeenSent) {
      mayHaveRun.complete(mayHaveBeenSent);
    }
  }
}
