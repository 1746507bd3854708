// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.fawndrum.coordination.link.ProxySelector;
import org.fawndrum.coordination.membership.FleetMember;
import org.fawndrum.errors.ProxyFailedException;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.protocol.wire.ProxyFailure;
import org.fawndrum.protocol.wire.ProxyOpen;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.EndpointKind;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What a host that proxies a request does, and never does, when something goes wrong. */
class ProxyServerTest {
  private static final String LOOPBACK = "127.0.0.1";
  private static final long TIMEOUT_S = 20;

  /** A port that only the system could listen on. */
  private static final int NO_LISTENER = 1;

  private final Vertx vertx = Vertx.vertx();
  private final HttpClientAgent http = vertx.createHttpClient();
  private final AtomicLong nowMs = new AtomicLong(10_000);
  private final AtomicInteger received = new AtomicInteger();
  private final AtomicInteger closed = new AtomicInteger();
  private volatile boolean isClosed;
  private volatile String answeredId;
  private ProxyServer server;
  private ProxyClient client;
  private Endpoint endpoint;

  /** Reaches one endpoint, as another host would. */
  private final class Connector implements EndpointConnector {
    @Override
    public Optional<Endpoint> reachable(ProxyOpen open) {
      return Optional.of(endpoint).filter(known -> known.name().equals(open.getEndpoint()));
    }

    @Override
    public boolean isClosed(Endpoint to) {
      return isClosed;
    }

    @Override
    public void answered(Endpoint to, String requestId, int status, MultiMap headers) {
      answeredId = requestId;
    }

    @Override
    public Future<HttpClientRequest> connect(
        Endpoint to, HttpMethod method, String uri, boolean repeatable) {
      return http.request(method, to.address().port(), to.address().ip(), uri);
    }

    @Override
    public Future<Optional<ProxyFailure.Kind>> check(Endpoint to) {
      return Future.succeededFuture(Optional.empty());
    }

    @Override
    public Future<ProxyFailure.Kind> kindOf(Endpoint to, Throwable cause) {
      return Future.succeededFuture(ProxyFailure.Kind.REFUSED);
    }
  }

  @BeforeEach
  void start() throws Exception {
    int port =
        await(
                vertx
                    .createHttpServer()
                    .connectionHandler(
                        connection -> connection.closeHandler(v -> closed.incrementAndGet()))
                    .requestHandler(
                        request -> {
                          received.incrementAndGet();
                          if (request.path().equals("/answer")) {
                            request.response().end("done");
                          }
                        })
                    .listen(0, LOOPBACK))
            .actualPort();
    endpoint = endpoint(port);
    HostAddress address = new HostAddress(LOOPBACK, freePort());
    server =
        new ProxyServer(
            vertx, Optional.of(address), new Connector(), nowMs::get, new HostLog("test"));
    await(server.listen());
    FleetMember proxy =
        new FleetMember(new HostIdentity("host-2", 1), address, "zone", 1, true, address.port());
    client = client(List.of(proxy));
  }

  @AfterEach
  void close() throws Exception {
    await(vertx.close());
  }

  private ProxyClient client(List<FleetMember> live) {
    return new ProxyClient(vertx, () -> live, new ProxySelector("host-1", "zone"), nowMs::get);
  }

  private static Endpoint endpoint(int port) {
    return new Endpoint(
        new HostIdentity("e-1", 1),
        "zone",
        EndpointKind.MODEL,
        new HostAddress(LOOPBACK, port),
        Set.of("pool"),
        0);
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  private static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(TIMEOUT_S, TimeUnit.SECONDS);
  }

  private static ProxyOpen.Builder open(String uri) {
    return ProxyOpen.newBuilder()
        .setEndpoint("e-1")
        .setIncarnation(1)
        .setRequestId("r-1")
        .setMethod("POST")
        .setUri(uri)
        .setRemainingMs(TimeUnit.SECONDS.toMillis(TIMEOUT_S));
  }

  private static ProxyFailedException failure(Future<?> future) {
    Throwable cause = assertThrows(ExecutionException.class, () -> await(future)).getCause();
    return assertInstanceOf(ProxyFailedException.class, cause);
  }

  @Test
  void nothingReachesTheEndpointBeforeTheBodyIsSent() throws Exception {
    EndpointRequest request = await(client.open(open("/answer").build()));
    assertEquals(0, received.get());
    request.body().end(Buffer.buffer("body"));
    assertEquals(200, await(request.answer()).statusCode());
    assertEquals(1, received.get());
  }

  /** The caller of a request that waited on a paused host may be gone. */
  @Test
  void aRequestThatWaitedOnAPausedHostReachesNoEndpoint() throws Exception {
    EndpointRequest request = await(client.open(open("/answer").build()));
    nowMs.addAndGet(501);
    request.body().end(Buffer.buffer("body"));
    assertFalse(failure(request.answer()).isEndpointAtFault());
    assertEquals(0, received.get());
  }

  @Test
  void aHostThatStopsProxiesNothingNew() {
    server.drain();
    assertEquals(ProxyFailure.Kind.NO_LINK, failure(client.open(open("/answer").build())).kind());
  }

  /** Its word on the endpoint is what tells the other host's loss from the endpoint's failure. */
  @Test
  void anEndpointThatRefusesIsNamedAsTheCause() {
    endpoint = endpoint(NO_LISTENER);
    ProxyFailedException failure = failure(client.open(open("/answer").build()));
    assertEquals(ProxyFailure.Kind.REFUSED, failure.kind());
    assertTrue(failure.isEndpointAtFault());
  }

  /** The address of a request is never taken from the host that asks. */
  @Test
  void anEndpointThatTheHostDoesNotKnowIsNotConnectedTo() {
    ProxyOpen unknown = open("/answer").setEndpoint("e-2").build();
    assertEquals(ProxyFailure.Kind.NO_LINK, failure(client.open(unknown)).kind());
  }

  @Test
  void aCancelledRequestIsCancelledAtTheEndpoint() throws Exception {
    EndpointRequest request = await(client.open(open("/wait").build()));
    request.body().end(Buffer.buffer("body"));
    while (received.get() == 0) {
      Thread.sleep(1);
    }
    request.reset();
    awaitClosed();
    assertEquals(1, received.get());
  }

  /**
   * Requests that were answered before their bodies had been sent left their connections open for
   * good, until the endpoint accepted no more.
   */
  @Test
  void anAnswerBeforeTheEndOfTheBodyLeavesNoConnectionOpen() throws Exception {
    EndpointRequest request = await(client.open(open("/answer").build()));
    Promise<Void> answered = Promise.promise();
    request
        .answer()
        .onSuccess(answer -> answer.body().endHandler(v -> answered.complete()))
        .onFailure(answered::fail);
    request.headers().set("Content-Length", "100000");
    request.body().write(Buffer.buffer("the beginning of a body"));
    await(answered.future());
    request.reset();
    assertTimeoutPreemptively(Duration.ofSeconds(TIMEOUT_S), this::awaitClosed);
  }

  private void awaitClosed() throws InterruptedException {
    while (closed.get() == 0) {
      Thread.sleep(1);
    }
  }

  /** Hosts of an older build name no port and are not asked. */
  @Test
  void withoutAHostToAskThereIsNoWay() {
    FleetMember older =
        new FleetMember(new HostIdentity("host-3", 1), new HostAddress(LOOPBACK, 1), "zone", 1);
    ProxyClient alone = client(List.of(older));
    assertFalse(alone.hasProxies());
    assertEquals(ProxyFailure.Kind.NO_LINK, failure(alone.open(open("/answer").build())).kind());
  }

  /**
   * An endpoint that asked a host for a backoff must not get the requests of others from it. Memory
   * is released there nevertheless.
   */
  @Test
  void whatTheEndpointAskedOfTheHostInBetweenHoldsForRequestsOfOthers() throws Exception {
    EndpointRequest request = await(client.open(open("/answer").build()));
    request.body().end(Buffer.buffer("body"));
    await(request.answer());
    assertEquals("r-1", answeredId, "the host in between learns what the answer asks of it");
    isClosed = true;
    ProxyFailedException failure = failure(client.open(open("/answer").build()));
    assertEquals(ProxyFailure.Kind.CLOSED, failure.kind());
    assertFalse(failure.isEndpointAtFault());
    await(client.open(open("/answer").clearRequestId().build())).reset();
  }
}
