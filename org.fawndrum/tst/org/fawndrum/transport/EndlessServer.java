// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A server on plain sockets whose answers have no end: it sends until its client closes the
 * connection. Thread-safe.
 */
final class EndlessServer implements AutoCloseable {
  private static final int PIECE_BYTES = 16 << 10;
  private static final int BACKLOG = 200;

  private final ServerSocket server =
      new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
  private final Kind kind;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private final AtomicLong largest = new AtomicLong();
  private final AtomicInteger answers = new AtomicInteger();
  private final AtomicInteger closed = new AtomicInteger();

  /** What has no end. */
  enum Kind {
    /** The fields of the head. */
    HEAD_FIELDS("HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"),
    /** Answers that precede the final one. */
    INTERIM_ANSWERS("", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"),
    /** The chunks of the body. */
    CHUNKS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n"),
    /** A body with neither a length nor chunks. */
    UNFRAMED_BODY("HTTP/1.1 200 OK\r\n\r\n", "xxxx"),
    /** A body of the length that the head gives, far above what anybody needs. */
    LONG_BODY("HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n", "xxxx"),
    /** The lines of a stream. */
    LINES("HTTP/1.1 200 OK\r\n\r\n", ": x\n");

    private final String begin;
    private final String repeated;

    Kind(String begin, String repeated) {
      this.begin = begin;
      this.repeated = repeated;
    }
  }

  /** Creates a server that listens. */
  EndlessServer(Kind kind) throws IOException {
    this.kind = kind;
    start(this::accept);
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "endless-server");
    thread.setDaemon(true);
    thread.start();
  }

  int port() {
    return server.getLocalPort();
  }

  /** Returns whether the connection of each answer has been closed. */
  boolean allClosed() {
    return answers.get() > 0 && closed.get() == answers.get();
  }

  /** Returns how many bytes of one answer its client and the connection have taken at most. */
  long largestAnswer() {
    return largest.get();
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
    long sent = 0;
    try {
      InputStream in = socket.getInputStream();
      if (in.read(new byte[PIECE_BYTES]) < 0) {
        return;
      }
      answers.incrementAndGet();
      OutputStream out = socket.getOutputStream();
      out.write(kind.begin.getBytes(StandardCharsets.ISO_8859_1));
      String text = kind.repeated.repeat(PIECE_BYTES / kind.repeated.length());
      byte[] piece = text.getBytes(StandardCharsets.ISO_8859_1);
      while (true) {
        out.write(piece);
        sent += piece.length;
      }
    } catch (IOException e) {
      // Its client has closed the connection.
      long bytes = sent;
      largest.updateAndGet(most -> Math.max(most, bytes));
      closed.incrementAndGet();
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
