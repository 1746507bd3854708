// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.proxy;

import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.streams.WriteStream;
import org.fawndrum.errors.ProxyFailedException;
import org.fawndrum.protocol.wire.ProxyData;
import org.fawndrum.protocol.wire.ProxyFailure;
import org.fawndrum.protocol.wire.ProxyHead;
import org.fawndrum.protocol.wire.ProxyMessage;
import org.fawndrum.protocol.wire.ProxyOpen;

/**
 * A request through another host. The future of {@link #open} completes when that host has a
 * connection to the endpoint. Confined to one event loop.
 */
final class ProxiedRequest implements EndpointRequest, WriteStream<Buffer> {
  private final NetSocket socket;
  private final String proxy;
  private final Runnable onClosed;
  private final ProxyFrames frames;
  private final MultiMap headers = MultiMap.caseInsensitiveMultiMap();
  private final Promise<EndpointRequest> opened = Promise.promise();
  private final Promise<EndpointAnswer> answer = Promise.promise();
  private final ProxiedBody answerBody;
  private Handler<Throwable> exceptionHandler = cause -> {};
  private boolean headSent;
  private boolean answered;
  private boolean finished;

  /**
   * Creates a request on a connection to another host.
   *
   * @param proxy the name of that host
   * @param onClosed called once, when the connection is closed
   */
  ProxiedRequest(NetSocket socket, String proxy, Runnable onClosed) {
    this.socket = socket;
    this.proxy = proxy;
    this.onClosed = onClosed;
    this.frames = new ProxyFrames(socket, this::receive);
    this.answerBody = new ProxiedBody(frames);
    // Whatever fails, the connection is closed next.
    socket.exceptionHandler(cause -> socket.close());
    socket.closeHandler(v -> closed());
  }

  /** Asks for the connection to the endpoint; fails with a {@link ProxyFailedException}. */
  Future<EndpointRequest> open(ProxyOpen open) {
    frames.send(ProxyMessage.newBuilder().setOpen(open));
    return opened.future();
  }

  private void receive(ProxyMessage message) {
    switch (message.getBodyCase()) {
      case OPENED -> opened.tryComplete(this);
      case FAILURE -> failed(message.getFailure().getKind());
      case ANSWER -> {
        answered = true;
        MultiMap received = ProxyFrames.read(message.getAnswer().getHeadersList());
        answer.tryComplete(
            new EndpointAnswer(message.getAnswer().getStatus(), received, answerBody));
      }
      case DATA -> received(message.getData());
      default -> failed(ProxyFailure.Kind.UNSPECIFIED);
    }
  }

  private void received(ProxyData data) {
    if (!data.getBytes().isEmpty()) {
      answerBody.data(Buffer.buffer(data.getBytes().toByteArray()));
    }
    if (data.getLast()) {
      finished = true;
      socket.close();
      answerBody.end();
    }
  }

  private void closed() {
    onClosed.run();
    failed(ProxyFailure.Kind.UNSPECIFIED);
  }

  private void failed(ProxyFailure.Kind kind) {
    if (finished) {
      return;
    }
    finished = true;
    socket.close();
    ProxyFailedException failure = new ProxyFailedException(kind, proxy);
    opened.tryFail(failure);
    answer.tryFail(failure);
    if (answered) {
      answerBody.fail(failure);
    }
    exceptionHandler.handle(failure);
  }

  @Override
  public MultiMap headers() {
    return headers;
  }

  @Override
  public WriteStream<Buffer> body() {
    return this;
  }

  @Override
  public Future<EndpointAnswer> answer() {
    return answer.future();
  }

  @Override
  public void reset() {
    finished = true;
    socket.close();
  }

  @Override
  public String proxy() {
    return proxy;
  }

  @Override
  public void onLost(Handler<Throwable> handler) {
    exceptionHandler = handler;
  }

  @Override
  public ProxiedRequest exceptionHandler(Handler<Throwable> handler) {
    onLost(handler);
    return this;
  }

  @Override
  public Future<Void> write(Buffer part) {
    return send(part, false);
  }

  @Override
  public Future<Void> end() {
    return send(Buffer.buffer(), true);
  }

  @Override
  public Future<Void> end(Buffer part) {
    return send(part, true);
  }

  private Future<Void> send(Buffer part, boolean last) {
    if (!headSent) {
      headSent = true;
      frames.send(
          ProxyMessage.newBuilder()
              .setHead(ProxyHead.newBuilder().addAllHeaders(ProxyFrames.write(headers))));
    }
    frames.send(ProxyMessage.newBuilder().setData(ProxyFrames.data(part, last)));
    return Future.succeededFuture();
  }

  @Override
  public ProxiedRequest setWriteQueueMaxSize(int maxSize) {
    socket.setWriteQueueMaxSize(maxSize);
    return this;
  }

  @Override
  public boolean writeQueueFull() {
    return socket.writeQueueFull();
  }

  @Override
  public ProxiedRequest drainHandler(Handler<Void> handler) {
    socket.drainHandler(handler);
    return this;
  }
}
