// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.DefaultMaxMessagesRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.fawndrum.coordination.Ran;
import org.fawndrum.coordination.Refusal;
import org.fawndrum.coordination.RefusalKind;
import org.fawndrum.errors.RefusedException;
import org.fawndrum.state.CallerLimits;
import org.fawndrum.state.HostAddress;
import org.fawndrum.transport.BodyReader;
import org.fawndrum.transport.HostClock;
import org.fawndrum.transport.IdleConnections;
import org.fawndrum.transport.MalformedRequestHead;

/**
 * The HTTP server for callers. Reads complete requests within the limits of the configuration in
 * force and passes them on. Confined to one event loop.
 */
final class RelayServer {
  /** Maximum bytes of headers that are read at all; the configured limit is below it. */
  private static final int MAX_HEADER_BYTES = 65_536;

  /** Idle timeout of a connection after its answer while the host is draining, in milliseconds. */
  private static final long DRAINING_IDLE_MS = 100;

  /**
   * How long a connection without any request stays open while the host is draining, in
   * milliseconds. The load balancer opens new connections to a draining host when few hosts are
   * available, and closing one that is about to carry a request costs its caller an attempt.
   */
  private static final long NEW_CONNECTION_GRACE_MS = 300;

  /** How long a request waits for a host that has just started, in milliseconds. */
  private static final long MAX_START_WAIT_MS = 700;

  /**
   * What the operating system queues for one caller, in bytes: memory that is not counted. It has
   * little influence on when the progress of a slow reader shows, which its receive buffer decides.
   */
  private static final int SEND_BUFFER_BYTES = 64 << 10;

  private static final long START_POLL_MS = 20;
  private static final int HEADER_SEPARATOR_BYTES = 4;
  private static final int MAX_LINE_BYTES = 16_384;

  private final Vertx vertx;
  private final HostAddress address;
  private final RouteStore routes;
  private final RelayCodec codec;
  private final HostClock clock;
  private final Intake intake;
  private final DecisionLog decisions;
  private final BooleanSupplier hasState;
  private final CallerHolds holds;
  private final IdleConnections idleConnections;
  private final Map<HttpConnection, Integer> requestsInProgress = new HashMap<>();

  /** The times at which connections without any request so far were opened, by the host's clock. */
  private final Map<HttpConnection, Long> unusedSinceMs = new HashMap<>();

  private boolean draining;
  private boolean readingStopped;

  /** Receives complete requests. */
  interface Intake {
    /** Accepts a request; throws {@link RefusedException} if it cannot be served. */
    void accept(IncomingRequest incoming);
  }

  /**
   * A complete request.
   *
   * @param http the request as the server received it
   * @param request the content of its headers
   * @param body its body
   * @param held what this host holds for it
   * @param arrivedMs when its headers arrived, by the host's clock
   * @param context its event loop
   */
  record IncomingRequest(
      HttpServerRequest http,
      RelayRequest request,
      Buffer body,
      HeldRequest held,
      long arrivedMs,
      Context context) {
    /**
     * Returns whether the caller has closed its connection. The response learns of that only after
     * the steps that were queued on the event loop before, such as sending this request.
     */
    boolean callerDisconnected() {
      boolean closed = channel(http.connection()).map(channel -> !channel.isOpen()).orElse(false);
      return closed || http.response().closed();
    }
  }

  RelayServer(
      Vertx vertx,
      HostAddress address,
      RouteStore routes,
      RelayCodec codec,
      HostClock clock,
      Intake intake,
      DecisionLog decisions,
      BooleanSupplier hasState,
      CallerHolds holds) {
    this.vertx = vertx;
    this.address = address;
    this.routes = routes;
    this.codec = codec;
    this.clock = clock;
    this.intake = intake;
    this.decisions = decisions;
    this.hasState = hasState;
    this.holds = holds;
    this.idleConnections =
        new IdleConnections(
            vertx,
            () -> limits().idleTimeoutMs(),
            () -> draining ? DRAINING_IDLE_MS : limits().idleTimeoutMs());
  }

  private CallerLimits limits() {
    return routes.table().limits();
  }

  Future<HttpServer> listen() {
    HttpServerOptions options =
        new HttpServerOptions()
            .setHost(address.ip())
            .setPort(address.port())
            .setMaxHeaderSize(MAX_HEADER_BYTES)
            .setMaxInitialLineLength(MAX_LINE_BYTES)
            .setHttp2ClearTextEnabled(false)
            .setUseAlpn(false)
            .setSendBufferSize(SEND_BUFFER_BYTES)
            .setTcpNoDelay(true);
    return vertx
        .createHttpServer(options)
        .requestHandler(this::handle)
        .invalidRequestHandler(this::refuseInvalid)
        .connectionHandler(this::connectionOpened)
        .listen();
  }

  /** Starts draining: from now on each connection is closed after its pending answer. */
  void startDraining() {
    draining = true;
  }

  /**
   * Stops reading from callers, because new requests could not be answered any more. Requests that
   * were read before still receive their answers.
   */
  void stopReading() {
    readingStopped = true;
    Map.copyOf(requestsInProgress).keySet().forEach(RelayServer::disableReads);
  }

  private static void disableReads(HttpConnection connection) {
    channel(connection).ifPresent(channel -> channel.config().setAutoRead(false));
  }

  /** Closes the connections without a request in progress, except those that were just opened. */
  void closeIdle() {
    for (Map.Entry<HttpConnection, Integer> connection :
        Map.copyOf(requestsInProgress).entrySet()) {
      if (connection.getValue() == 0 && !isNew(connection.getKey())) {
        connection.getKey().close();
      }
    }
  }

  private boolean isNew(HttpConnection connection) {
    Long openedMs = unusedSinceMs.get(connection);
    return openedMs != null && clock.nowMs() - openedMs < NEW_CONNECTION_GRACE_MS;
  }

  /** Returns the number of open connections. */
  int connections() {
    return requestsInProgress.size();
  }

  /** Returns the number of connections with a request in progress. */
  int busyConnections() {
    return (int) requestsInProgress.values().stream().filter(requests -> requests > 0).count();
  }

  private void connectionOpened(HttpConnection connection) {
    requestsInProgress.put(connection, 0);
    unusedSinceMs.put(connection, clock.nowMs());
    idleConnections.opened(connection);
    holds.opened(connection);
    readUntilEmpty(connection);
    if (readingStopped) {
      disableReads(connection);
    }
    connection.closeHandler(
        v -> {
          requestsInProgress.remove(connection);
          unusedSinceMs.remove(connection);
          idleConnections.closed(connection);
          holds.closed(connection);
        });
  }

  /**
   * Makes the connection read until no data is left, so that a disconnect of the caller is read
   * together with the requests before it. A host that was starting or busy finds requests whose
   * callers have already disconnected; none of these may reach an endpoint.
   */
  private static void readUntilEmpty(HttpConnection connection) {
    channel(connection)
        .map(channel -> channel.config().<RecvByteBufAllocator>getRecvByteBufAllocator())
        .filter(DefaultMaxMessagesRecvByteBufAllocator.class::isInstance)
        .map(DefaultMaxMessagesRecvByteBufAllocator.class::cast)
        .ifPresent(buffers -> buffers.respectMaybeMoreData(false));
  }

  private static Optional<Channel> channel(HttpConnection connection) {
    return CallerHolds.context(connection).map(ChannelHandlerContext::channel);
  }

  private void refuseInvalid(HttpServerRequest request) {
    RefusalKind kind = MalformedRequestHead.refusalKind(request);
    refuseAndClose(request, "", Refusal.notRun(kind));
  }

  private void handle(HttpServerRequest http) {
    HttpConnection connection = http.connection();
    idleConnections.requestStarted(connection);
    unusedSinceMs.remove(connection);
    requestsInProgress.merge(connection, 1, Integer::sum);
    http.response()
        .endHandler(
            v -> {
              holds.requestEnded(connection);
              requestsInProgress.computeIfPresent(
                  connection, (key, count) -> Math.max(0, count - 1));
              idleConnections.requestCompleted(connection);
            });
    http.response()
        .headersEndHandler(
            v -> {
              if (draining) {
                http.response().putHeader("connection", "close");
              }
            });
    if (http.response().writeQueueFull()) {
      // The caller sends requests without reading the answers to earlier ones.
      http.pause();
      http.response()
          .drainHandler(
              v -> {
                http.resume();
                readRequest(http);
              });
    } else {
      readRequest(http);
    }
  }

  private void readRequest(HttpServerRequest http) {
    long arrivedMs = clock.nowMs();
    RelayRequest request;
    try {
      checkHeaders(http);
      request = codec.readRequest(http.headers());
    } catch (RefusedException e) {
      refuseAndClose(http, e.requestId(), e.refusal());
      return;
    }
    if (!holds.hasRoom()) {
      refuse(http, request.requestId(), CallerHolds.MEMORY_FULL);
      return;
    }
    HeldRequest held = holds.requestStarted(http.connection(), request.requestId());
    readBody(http, request, held, arrivedMs);
  }

  private void checkHeaders(HttpServerRequest http) {
    if (MalformedRequestHead.hasNamelessField(http)) {
      throw new RefusedException("", Refusal.notRun(RefusalKind.INVALID_REQUEST));
    }
    long bytes = 0;
    for (Map.Entry<String, String> header : http.headers()) {
      bytes += header.getKey().length() + header.getValue().length() + HEADER_SEPARATOR_BYTES;
    }
    if (bytes > limits().maxHeaderBytes()) {
      throw new RefusedException("", Refusal.notRun(RefusalKind.HEADERS_TOO_LARGE));
    }
  }

  private void readBody(
      HttpServerRequest http, RelayRequest request, HeldRequest held, long arrivedMs) {
    Context context = vertx.getOrCreateContext();
    new BodyReader(vertx, limits().maxBodyBytes(), limits().headerTimeoutMs(), held)
        .read(http, request.requestId())
        .thenAccept(
            body ->
                acceptWhenReady(new IncomingRequest(http, request, body, held, arrivedMs, context)))
        .exceptionally(
            failure -> {
              refuse(http, request.requestId(), RefusedException.refusalOf(failure));
              return null;
            });
  }

  /**
   * Passes a request on as soon as this host has the state that it needs. A host that has just
   * started obtains it within some hundred milliseconds; refusing callers in that time would only
   * make them retry. A host that drains before it has the state does not let requests wait for it.
   */
  private void acceptWhenReady(IncomingRequest incoming) {
    String requestId = incoming.request().requestId();
    if (incoming.callerDisconnected()) {
      return;
    }
    if (hasState.getAsBoolean()) {
      try {
        intake.accept(incoming);
      } catch (RefusedException e) {
        refuse(incoming.http(), requestId, e.refusal());
      }
    } else if (draining || clock.nowMs() - incoming.arrivedMs() > MAX_START_WAIT_MS) {
      Refusal notReady = Refusal.of(RefusalKind.NO_TABLE, Ran.NO, RelayIntake.OTHER_HOST_RETRY_MS);
      refuseAndClose(incoming.http(), requestId, notReady);
    } else {
      vertx.setTimer(START_POLL_MS, id -> acceptWhenReady(incoming));
    }
  }

  private void refuseAndClose(HttpServerRequest http, String requestId, Refusal refusal) {
    decisions.requestRefused(requestId, refusal);
    RelayRefusals.answerAndClose(http, codec, requestId, refusal);
  }

  /**
   * Refuses a request. What is left of its body is read and dropped unless it is faulty: closing a
   * connection with unread bytes could lose the refusal.
   */
  private void refuse(HttpServerRequest http, String requestId, Refusal refusal) {
    boolean incompletelyRead =
        refusal.kind() == RefusalKind.BODY_TOO_LARGE
            || refusal.kind() == RefusalKind.REQUEST_INCOMPLETE;
    if (incompletelyRead) {
      refuseAndClose(http, requestId, refusal);
    } else {
      decisions.requestRefused(requestId, refusal);
      RelayRefusals.answer(http.response(), codec, requestId, refusal);
    }
  }
}
