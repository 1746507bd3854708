// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import org.fawndrum.state.HostAddress;

/**
 * A TCP proxy in front of one address that forwards, delays or drops bytes or resets connections.
 * Confined to the event loop that creates it.
 */
final class FaultProxy {
  /** Delay of each buffer in {@link Mode#DELAY}, in milliseconds: half of a first-token target. */
  private static final long DELAY_MS = 150;

  private static final String LOOPBACK = "127.0.0.1";

  private final Vertx vertx;
  private final NetClient client;
  private final HostAddress target;
  private final Runnable onSecondAnswer;
  private final Set<NetSocket> openSockets = new HashSet<>();
  private NetServer server;
  private Mode mode = Mode.PASS;
  private final SecondAnswers secondAnswers = new SecondAnswers();
  private boolean answersTwice;

  /** How the proxy treats the bytes of its connections. */
  enum Mode {
    /** Forwards all bytes. */
    PASS,
    /** Forwards all bytes after a delay. */
    DELAY,
    /** Drops bytes to the target; responses are still forwarded. */
    DROP_REQUESTS,
    /** Drops bytes from the target; requests are still forwarded. */
    DROP_RESPONSES,
    /** Drops all bytes and closes no connection. */
    DROP_ALL,
    /** Closes open connections and new ones. */
    RESET
  }

  /**
   * Creates a proxy that does not listen yet.
   *
   * @param onSecondAnswer called when a second answer was begun
   */
  FaultProxy(Vertx vertx, NetClient client, HostAddress target, Runnable onSecondAnswer) {
    this.onSecondAnswer = onSecondAnswer;
    this.vertx = vertx;
    this.client = client;
    this.target = target;
  }

  /** Listens on a free port; completes with the address. */
  Future<HostAddress> listen() {
    return listen(0);
  }

  private Future<HostAddress> listen(int port) {
    return vertx
        .createNetServer()
        .connectHandler(this::accept)
        .listen(port, LOOPBACK)
        .map(
            listening -> {
              server = listening;
              return new HostAddress(LOOPBACK, listening.actualPort());
            });
  }

  /**
   * Closes all connections and refuses new ones for a time, in milliseconds, as the port of a
   * terminated process does. Completes when it listens again.
   */
  Future<Void> refuseFor(long durationMs) {
    int port = server.actualPort();
    Set.copyOf(openSockets).forEach(NetSocket::close);
    return server.close().compose(v -> retryListen(port, durationMs));
  }

  /** Retries because another process may occupy the port for a short time. */
  private Future<Void> retryListen(int port, long afterMs) {
    return vertx
        .timer(afterMs)
        .compose(v -> listen(port))
        .<Void>mapEmpty()
        .recover(cause -> retryListen(port, afterMs));
  }

  /** Sets how bytes are treated from now on. */
  void mode(Mode newMode) {
    mode = newMode;
    if (mode == Mode.RESET) {
      Set.copyOf(openSockets).forEach(NetSocket::close);
    }
  }

  /**
   * Sets whether a second answer is begun, and broken off, on each connection that has carried an
   * answer, when the next request arrives.
   */
  void beginSecondAnswers(boolean begin) {
    answersTwice = begin;
  }

  private void accept(NetSocket clientSocket) {
    if (mode == Mode.RESET) {
      clientSocket.close();
      return;
    }
    clientSocket.pause();
    client
        .connect(target.port(), target.ip())
        .onSuccess(
            targetSocket -> {
              AtomicBoolean answered = new AtomicBoolean();
              pipe(
                  clientSocket,
                  targetSocket,
                  Mode.DROP_REQUESTS,
                  () -> {
                    if (answersTwice && answered.getAndSet(false)) {
                      clientSocket.write(secondAnswers.next());
                      onSecondAnswer.run();
                    }
                  });
              pipe(targetSocket, clientSocket, Mode.DROP_RESPONSES, () -> answered.set(true));
              clientSocket.resume();
            })
        .onFailure(cause -> clientSocket.close());
  }

  private void pipe(NetSocket from, NetSocket to, Mode dropMode, Runnable onBytes) {
    openSockets.add(from);
    from.handler(
        buffer -> {
          onBytes.run();
          forward(buffer, to, dropMode);
        });
    from.closeHandler(
        v -> {
          openSockets.remove(from);
          // A dropped direction doesn't forward the close of the other side.
          if (mode != Mode.DROP_ALL && mode != dropMode) {
            to.close();
          }
        });
    from.exceptionHandler(cause -> from.close());
  }

  private void forward(Buffer buffer, NetSocket to, Mode dropMode) {
    if (mode == Mode.DROP_ALL || mode == dropMode) {
      return;
    }
    if (mode == Mode.DELAY) {
      vertx.setTimer(DELAY_MS, id -> to.write(buffer));
    } else {
      to.write(buffer);
    }
  }
}
