// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.netty.channel.Channel;
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
import io.vertx.core.http.impl.HttpServerConnection;
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
import org.fawndrum.transport.UnreadableHead;

/**
 * The callers' address. It reads whole requests within the limits of the configuration in force and
 * hands them on. Confined to one event loop.
 */
final class RelayServer {
  /** The most bytes of headers that are read at all; the configuration's limit is below it. */
  private static final int MOST_HEADER_BYTES = 65_536;

  /** The rest of a connection after its answer while the host stops, in milliseconds. */
  private static final long STOPPING_IDLE_MS = 100;

  /**
   * How long a connection on which nothing came yet is spared while the host stops, in
   * milliseconds: the balancer sends new connections to stopping hosts when few others are in, and
   * closing one that is about to carry a request costs its caller a try.
   */
  private static final long FRESH_MS = 300;

  /** How long a request waits for a host that has just started, in milliseconds. */
  private static final long LONGEST_START_MS = 700;

  private static final long START_LOOK_MS = 20;
  private static final int HEADER_SEPARATORS = 4;
  private static final int MOST_LINE_BYTES = 16_384;

  private final Vertx vertx;
  private final HostAddress address;
  private final RouteStore routes;
  private final RelayCodec codec;
  private final HostClock clock;
  private final Intake intake;
  private final DecisionLog decisions;
  private final BooleanSupplier known;
  private final IdleConnections idle;
  private final Map<HttpConnection, Integer> busy = new HashMap<>();

  /** When connections that carried no request yet were opened, by the host's clock. */
  private final Map<HttpConnection, Long> unused = new HashMap<>();

  private boolean stopping;
  private boolean ended;

  /** Takes requests that are whole. */
  interface Intake {
    /** Takes a request; throws {@link RefusedException} when it cannot be served. */
    void take(Incoming incoming);
  }

  /**
   * A whole request.
   *
   * @param http the request as the server has it
   * @param request what its headers say
   * @param body its body
   * @param arrivedMs when its head arrived, by the host's clock
   * @param context its event loop
   */
  record Incoming(
      HttpServerRequest http, RelayRequest request, Buffer body, long arrivedMs, Context context) {
    /**
     * Tells whether the caller has closed its connection. The response learns of that only after
     * what was queued on the loop before, such as the order to send this request.
     */
    boolean callerLeft() {
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
      BooleanSupplier known) {
    this.vertx = vertx;
    this.address = address;
    this.routes = routes;
    this.codec = codec;
    this.clock = clock;
    this.intake = intake;
    this.decisions = decisions;
    this.known = known;
    this.idle =
        new IdleConnections(
            vertx, () -> limits().idleMs(), () -> stopping ? STOPPING_IDLE_MS : limits().idleMs());
  }

  private CallerLimits limits() {
    return routes.table().limits();
  }

  Future<HttpServer> listen() {
    HttpServerOptions options =
        new HttpServerOptions()
            .setHost(address.ip())
            .setPort(address.port())
            .setMaxHeaderSize(MOST_HEADER_BYTES)
            .setMaxInitialLineLength(MOST_LINE_BYTES)
            .setHttp2ClearTextEnabled(false)
            .setUseAlpn(false)
            .setTcpNoDelay(true);
    return vertx
        .createHttpServer(options)
        .requestHandler(this::handle)
        .invalidRequestHandler(this::invalid)
        .connectionHandler(this::opened)
        .listen();
  }

  /** From now on connections end with the answer that they wait for. */
  void stop() {
    stopping = true;
  }

  /**
   * Reads nothing more from callers, because what is taken now could not be answered any more. What
   * was read before gets its answer.
   */
  void stopReading() {
    ended = true;
    Map.copyOf(busy).keySet().forEach(RelayServer::readNoMore);
  }

  private static void readNoMore(HttpConnection connection) {
    channel(connection).ifPresent(channel -> channel.config().setAutoRead(false));
  }

  /** Closes the connections on which no request is in progress, but for those just opened. */
  void closeIdle() {
    for (Map.Entry<HttpConnection, Integer> connection : Map.copyOf(busy).entrySet()) {
      if (connection.getValue() == 0 && !fresh(connection.getKey())) {
        connection.getKey().close();
      }
    }
  }

  private boolean fresh(HttpConnection connection) {
    Long openedMs = unused.get(connection);
    return openedMs != null && clock.nowMs() - openedMs < FRESH_MS;
  }

  /** Returns how many connections are open. */
  int connections() {
    return busy.size();
  }

  /** Returns on how many connections a request is in progress. */
  int busy() {
    return (int) busy.values().stream().filter(requests -> requests > 0).count();
  }

  private void opened(HttpConnection connection) {
    busy.put(connection, 0);
    unused.put(connection, clock.nowMs());
    idle.opened(connection);
    readToEnd(connection);
    if (ended) {
      readNoMore(connection);
    }
    connection.closeHandler(
        v -> {
          busy.remove(connection);
          unused.remove(connection);
          idle.closed(connection);
        });
  }

  /**
   * Lets a connection be read until nothing is left, so that a caller's leaving is read together
   * with what it sent. A host that starts, or was busy, finds requests whose callers have left
   * already; none of these may reach an endpoint.
   */
  private static void readToEnd(HttpConnection connection) {
    channel(connection)
        .map(channel -> channel.config().<RecvByteBufAllocator>getRecvByteBufAllocator())
        .filter(DefaultMaxMessagesRecvByteBufAllocator.class::isInstance)
        .map(DefaultMaxMessagesRecvByteBufAllocator.class::cast)
        .ifPresent(buffers -> buffers.respectMaybeMoreData(false));
  }

  private static Optional<Channel> channel(HttpConnection connection) {
    return connection instanceof HttpServerConnection server
        ? Optional.of(server.channelHandlerContext().channel())
        : Optional.empty();
  }

  private void invalid(HttpServerRequest request) {
    RefusalKind kind = UnreadableHead.kind(request);
    turnAwayAndClose(request, "", Refusal.notRun(kind));
  }

  private void handle(HttpServerRequest http) {
    HttpConnection connection = http.connection();
    idle.began(connection);
    unused.remove(connection);
    busy.merge(connection, 1, Integer::sum);
    http.response()
        .endHandler(
            v -> {
              busy.computeIfPresent(connection, (key, count) -> Math.max(0, count - 1));
              idle.ended(connection);
            });
    http.response()
        .headersEndHandler(
            v -> {
              if (stopping) {
                http.response().putHeader("connection", "close");
              }
            });
    long arrivedMs = clock.nowMs();
    Context context = vertx.getOrCreateContext();
    RelayRequest request;
    try {
      checkHeaders(http);
      request = codec.read(http.headers());
    } catch (RefusedException e) {
      turnAwayAndClose(http, e.requestId(), e.refusal());
      return;
    }
    read(http, request, arrivedMs, context);
  }

  private void checkHeaders(HttpServerRequest http) {
    long bytes = 0;
    for (Map.Entry<String, String> header : http.headers()) {
      bytes += header.getKey().length() + header.getValue().length() + HEADER_SEPARATORS;
    }
    if (bytes > limits().headerBytes()) {
      throw new RefusedException("", Refusal.notRun(RefusalKind.HEADERS_TOO_LARGE));
    }
  }

  private void read(HttpServerRequest http, RelayRequest request, long arrivedMs, Context context) {
    new BodyReader(vertx, limits().bodyBytes(), limits().headerMs())
        .read(http, request.requestId())
        .thenAccept(body -> takeWhenKnown(new Incoming(http, request, body, arrivedMs, context)))
        .exceptionally(
            failure -> {
              refuse(http, request.requestId(), RefusedException.refusalOf(failure));
              return null;
            });
  }

  /**
   * Hands a request on as soon as this host knows what it needs. A host that has just started
   * learns it within some hundred milliseconds, in which turning callers away would only bring them
   * back. A host that stops before it knows anything keeps nobody waiting for that.
   */
  private void takeWhenKnown(Incoming incoming) {
    String requestId = incoming.request().requestId();
    if (incoming.callerLeft()) {
      return;
    }
    if (known.getAsBoolean()) {
      try {
        intake.take(incoming);
      } catch (RefusedException e) {
        refuse(incoming.http(), requestId, e.refusal());
      }
    } else if (stopping || clock.nowMs() - incoming.arrivedMs() > LONGEST_START_MS) {
      Refusal none = Refusal.of(RefusalKind.NO_TABLE, Ran.NO, RelayIntake.OTHER_HOST_RETRY_MS);
      turnAwayAndClose(incoming.http(), requestId, none);
    } else {
      vertx.setTimer(START_LOOK_MS, id -> takeWhenKnown(incoming));
    }
  }

  private void turnAwayAndClose(HttpServerRequest http, String requestId, Refusal refusal) {
    decisions.turnedAway(requestId, refusal);
    RelayRefusals.answerAndClose(http, codec, requestId, refusal);
  }

  private void refuse(HttpServerRequest http, String requestId, Refusal refusal) {
    boolean unread =
        refusal.kind() == RefusalKind.BODY_TOO_LARGE
            || refusal.kind() == RefusalKind.REQUEST_INCOMPLETE;
    if (unread) {
      turnAwayAndClose(http, requestId, refusal);
    } else {
      decisions.turnedAway(requestId, refusal);
      RelayRefusals.answer(http.response(), codec, requestId, refusal);
    }
  }
}
