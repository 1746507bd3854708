// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A server on plain sockets that answers a request when it has read its head, while the body is
 * still being written to it, and then ends the connection. Thread-safe.
 */
final class HastyServer implements AutoCloseable {
  /** Less than a long body, and more than the buffers of a connection that nobody reads. */
  private static final int READ_BEFORE_RESET_BYTES = 1 << 20;

  /** Time for the bytes of an answer to arrive, in milliseconds. */
  private static final long BEFORE_RESET_MS = 20;

  /** Small, so that the writer of a long body has to wait for its reader. */
  private static final int RECEIVE_BUFFER_BYTES = 16 << 10;

  private static final int BACKLOG = 200;
  private static final int BUFFER_BYTES = 8 << 10;
  private static final String HEAD_END = "\r\n\r\n";

  private final ServerSocket server = new ServerSocket();
  private final String answer;
  private final Ending ending;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();

  /** What happens after the answer. */
  enum Ending {
    /** A reset at once. */
    RESET_AT_ONCE,
    /** A reset when the answer has arrived and the writer of the body waits. */
    RESET_UNREAD,
    /** A reset while the body is being read. */
    RESET_WITHIN_THE_BODY,
    /** The end of what is sent, in order; no more than a part of a long body is read then. */
    ENDED_IN_ORDER
  }

  /**
   * Creates a server that listens.
   *
   * @param answer all that it sends
   */
  HastyServer(String answer, Ending ending) throws IOException {
    this.answer = answer;
    this.ending = ending;
    server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
    start(this::accept);
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "hasty-server");
    thread.setDaemon(true);
    thread.start();
  }

  int port() {
    return server.getLocalPort();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        open.add(socket);
        start(() -> serve(socket));
      } catch (IOException e) {
        // The test is over.
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      if (readHead(socket.getInputStream())) {
        socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
        end(socket);
      }
    } catch (IOException | InterruptedException e) {
      // The client closed the connection, or the test is over.
      open.remove(socket);
    }
  }

  /**
   * Reads a head byte by byte, so that nothing of the body is read; returns whether it is whole.
   */
  private static boolean readHead(InputStream in) throws IOException {
    int matched = 0;
    while (matched < HEAD_END.length()) {
      int next = in.read();
      if (next < 0) {
        return false;
      }
      if (next == HEAD_END.charAt(matched)) {
        matched++;
      } else {
        matched = next == HEAD_END.charAt(0) ? 1 : 0;
      }
    }
    return true;
  }

  private void end(Socket socket) throws IOException, InterruptedException {
    if (ending == Ending.ENDED_IN_ORDER) {
      socket.shutdownOutput();
      read(socket, READ_BEFORE_RESET_BYTES);
      return;
    }
    if (ending == Ending.RESET_WITHIN_THE_BODY) {
      read(socket, READ_BEFORE_RESET_BYTES);
    } else if (ending == Ending.RESET_UNREAD) {
      Thread.sleep(BEFORE_RESET_MS);
    }
    socket.setSoLinger(true, 0);
  }

  private static void read(Socket socket, long bytes) throws IOException {
    byte[] buffer = new byte[BUFFER_BYTES];
    long left = bytes;
    int read = 0;
    while (left > 0 && read >= 0) {
      read = socket.getInputStream().read(buffer);
      left -= read;
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket socket : open) {
      socket.close();
    }
  }
}
