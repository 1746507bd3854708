// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.proxy;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.net.NetSocket;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.fawndrum.protocol.wire.ProxyAnswer;
import org.fawndrum.protocol.wire.ProxyData;
import org.fawndrum.protocol.wire.ProxyFailure;
import org.fawndrum.protocol.wire.ProxyHead;
import org.fawndrum.protocol.wire.ProxyMessage;
import org.fawndrum.protocol.wire.ProxyOpen;
import org.fawndrum.protocol.wire.ProxyOpened;
import org.fawndrum.state.Endpoint;
import org.fawndrum.transport.HostClock;

/**
 * A request of another host that this host sends to an endpoint. The other host decides all about
 * it; closing the connection cancels the request. Confined to one event loop.
 */
final class ProxyConnection {
  /**
   * Maximum time from the connection to the endpoint to the request, in milliseconds of the host's
   * clock. A request that is read later has waited on a paused host, and its caller may be gone.
   */
  private static final long MAX_HEAD_DELAY_MS = 500;

  /** Time allowed beyond that of the request for its final answer, in milliseconds. */
  private static final long EXTRA_MS = 500;

  private final Vertx vertx;
  private final NetSocket socket;
  private final EndpointConnector connector;
  private final boolean accepts;
  private final HostClock clock;
  private final BiConsumer<ProxyOpen, Endpoint> onOpened;
  private final Consumer<ProxyConnection> onClosed;
  private final ProxyFrames frames;
  private HttpClientRequest request;
  private Consumer<HttpClientResponse> onAnswer;
  private long openedMs;
  private long expiryTimer;
  private boolean asked;
  private boolean bodyEnded;
  private boolean ended;

  /**
   * Creates a connection that waits for its request.
   *
   * @param accepts whether the host proxies another request now
   * @param onOpened called when the endpoint has accepted a connection for a request
   * @param onClosed called when the connection is closed
   */
  ProxyConnection(
      Vertx vertx,
      NetSocket socket,
      EndpointConnector connector,
      boolean accepts,
      HostClock clock,
      BiConsumer<ProxyOpen, Endpoint> onOpened,
      Consumer<ProxyConnection> onClosed) {
    this.vertx = vertx;
    this.socket = socket;
    this.connector = connector;
    this.accepts = accepts;
    this.clock = clock;
    this.onOpened = onOpened;
    this.onClosed = onClosed;
    this.frames = new ProxyFrames(socket, this::receive);
    this.expiryTimer = vertx.setTimer(MAX_HEAD_DELAY_MS, id -> socket.close());
    // Whatever fails, the connection is closed next.
    socket.exceptionHandler(cause -> socket.close());
    socket.closeHandler(v -> closed());
  }

  private void closed() {
    vertx.cancelTimer(expiryTimer);
    cancel();
    onClosed.accept(this);
  }

  /** Cancels the request at the endpoint unless it has ended. */
  private void cancel() {
    if (!ended) {
      ended = true;
      if (request != null) {
        request.reset();
      }
    }
  }

  private void receive(ProxyMessage message) {
    switch (message.getBodyCase()) {
      case OPEN -> open(message.getOpen());
      case HEAD -> head(message.getHead());
      case DATA -> data(message.getData());
      default -> socket.close();
    }
  }

  private void open(ProxyOpen open) {
    if (asked) {
      socket.close();
      return;
    }
    asked = true;
    vertx.cancelTimer(expiryTimer);
    expiryTimer =
        vertx.setTimer(Math.max(0, open.getRemainingMs()) + EXTRA_MS, id -> socket.close());
    Optional<Endpoint> endpoint = connector.reachable(open);
    if (!accepts) {
      fail(ProxyFailure.Kind.BUSY);
    } else if (endpoint.isEmpty()) {
      fail(ProxyFailure.Kind.NO_LINK);
    } else if (!open.getRequestId().isEmpty() && connector.isClosed(endpoint.get())) {
      fail(ProxyFailure.Kind.CLOSED);
    } else if (open.getCheck()) {
      connector
          .check(endpoint.get())
          .onSuccess(kind -> kind.ifPresentOrElse(this::fail, this::sendOpened));
    } else {
      connect(open, endpoint.get());
    }
  }

  private void connect(ProxyOpen open, Endpoint endpoint) {
    connector
        .connect(
            endpoint, HttpMethod.valueOf(open.getMethod()), open.getUri(), open.getRepeatable())
        .onComplete(
            connected -> {
              if (connected.failed()) {
                connector.kindOf(endpoint, connected.cause()).onSuccess(this::fail);
              } else if (ended) {
                connected.result().reset();
              } else {
                request = connected.result();
                onAnswer = head -> answered(open, endpoint, head);
                request.exceptionHandler(cause -> fail(ProxyFailure.Kind.LOST));
                onOpened.accept(open, endpoint);
                sendOpened();
              }
            });
  }

  private void answered(ProxyOpen open, Endpoint endpoint, HttpClientResponse head) {
    if (!open.getRequestId().isEmpty()) {
      connector.answered(endpoint, open.getRequestId(), head.statusCode(), head.headers());
    }
  }

  private void sendOpened() {
    openedMs = clock.nowMs();
    send(ProxyMessage.newBuilder().setOpened(ProxyOpened.getDefaultInstance()));
  }

  private void head(ProxyHead head) {
    if (request == null || clock.nowMs() - openedMs > MAX_HEAD_DELAY_MS) {
      cancel();
      socket.close();
      return;
    }
    request.headers().addAll(ProxyFrames.read(head.getHeadersList()));
    request
        .response()
        .onComplete(
            answer -> {
              if (answer.succeeded() && isAnswer(EndpointAnswer.of(answer.result()))) {
                onAnswer.accept(answer.result());
                answer(answer.result());
              } else {
                fail(ProxyFailure.Kind.LOST);
              }
            });
  }

  private static boolean isAnswer(EndpointAnswer head) {
    return head.isFinal() && !head.isJoined();
  }

  private void data(ProxyData data) {
    if (ended || request == null) {
      return;
    }
    Buffer bytes = Buffer.buffer(data.getBytes().toByteArray());
    if (data.getLast()) {
      bodyEnded = true;
      request.end(bytes);
      return;
    }
    request.write(bytes);
    if (request.writeQueueFull()) {
      frames.pause();
      request.drainHandler(v -> frames.resume());
    }
  }

  private void answer(HttpClientResponse head) {
    ProxyAnswer.Builder answer =
        ProxyAnswer.newBuilder()
            .setStatus(head.statusCode())
            .addAllHeaders(ProxyFrames.write(head.headers()));
    send(ProxyMessage.newBuilder().setAnswer(answer));
    head.exceptionHandler(cause -> fail(ProxyFailure.Kind.LOST));
    head.handler(
        bytes -> {
          send(ProxyMessage.newBuilder().setData(ProxyFrames.data(bytes, false)));
          if (socket.writeQueueFull()) {
            head.pause();
            socket.drainHandler(v -> head.resume());
          }
        });
    head.endHandler(
        v -> {
          send(ProxyMessage.newBuilder().setData(ProxyFrames.data(Buffer.buffer(), true)));
          ended = true;
          if (!bodyEnded) {
            // The rest of the body never follows. A reset would not close the connection any more.
            request.connection().close();
          }
        });
  }

  private void fail(ProxyFailure.Kind kind) {
    if (!ended) {
      send(ProxyMessage.newBuilder().setFailure(ProxyFailure.newBuilder().setKind(kind)));
      cancel();
    }
  }

  private void send(ProxyMessage.Builder message) {
    if (!ended) {
      frames.send(message);
    }
  }
}
