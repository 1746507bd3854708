// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A server on plain sockets that keeps its connections and gives each request the present answer.
 * Where a connection carried a request before, it first answers that one again. Thread-safe.
 */
final class StutteringServer implements AutoCloseable {
  private static final String LENGTH = "content-length:";

  /** Time for the bytes of an answer to arrive and to be handled, in milliseconds. */
  static final long BETWEEN_MS = 40;

  private final ServerSocket server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private volatile String answer = "";

  /** Creates a server that listens and answers nothing yet. */
  StutteringServer() throws IOException {
    start(this::accept);
  }

  /** Returns a whole answer with a length. */
  static String answer(String status, String body) {
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
  }

  /** Sets the answer of each request from now on; empty for none. */
  void setAnswer(String bytes) {
    answer = bytes;
  }

  int port() {
    return server.getLocalPort();
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "stuttering-server");
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        open.add(socket);
        start(() -> serve(socket));
      } catch (IOException e) {
        // The test is over.
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try {
      BufferedReader reader =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      String earlier = "";
      while (readRequest(reader)) {
        String now = answer;
        if (!earlier.isEmpty()) {
          write(socket, earlier);
          Thread.sleep(BETWEEN_MS);
        }
        write(socket, now);
        earlier = now;
      }
    } catch (IOException e) {
      // The client closed the connection, or the test is over.
      open.remove(socket);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void write(Socket socket, String bytes) throws IOException {
    socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  /** Reads a request; returns whether there was one. */
  private static boolean readRequest(BufferedReader reader) throws IOException {
    String line = reader.readLine();
    boolean found = line != null;
    int length = 0;
    for (; line != null && !line.isEmpty(); line = reader.readLine()) {
      String field = line.toLowerCase(Locale.ROOT);
      if (field.startsWith(LENGTH)) {
        length = Integer.parseInt(field.substring(LENGTH.length()).trim());
      }
    }
    for (; length > 0; length--) {
      reader.read();
    }
    return found;
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket socket : open) {
      socket.close();
    }
  }
}
