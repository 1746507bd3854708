// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.pgm;

import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Commands that get a broken answer must not tell their operators that they were done. */
class BrokenAnswerTest {
  private static final int RECEIVE_BUFFER_BYTES = 16 << 10;

  /** A prompt whose request is larger than what the system buffers of a connection. */
  private static final String MANY_TOKENS = "3000000";

  /** Runs a command against a daemon that answers each request in the same way and closes. */
  private static int run(String answer, boolean reset, String... arguments) throws IOException {
    try (ServerSocket daemon = new ServerSocket()) {
      daemon.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
      daemon.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      Thread server = new Thread(() -> serve(daemon, answer, reset), "broken-daemon");
      server.setDaemon(true);
      server.start();
      String[] all = new String[arguments.length + 2];
      System.arraycopy(arguments, 0, all, 0, arguments.length);
      all[arguments.length] = arguments[0].equals("send") ? "--callers" : "--daemon";
      all[arguments.length + 1] = "127.0.0.1:" + daemon.getLocalPort();
      PrintStream nowhere =
          new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8);
      return Main.run(all, nowhere, nowhere);
    }
  }

  private static void serve(ServerSocket daemon, String answer, boolean reset) {
    while (!daemon.isClosed()) {
      try (Socket socket = daemon.accept()) {
        InputStream in = socket.getInputStream();
        if (in.read(new byte[RECEIVE_BUFFER_BYTES]) >= 0) {
          socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
          if (reset) {
            socket.setSoLinger(true, 0);
          }
        }
      } catch (IOException e) {
        // The command has ended, or the test is over.
        continue;
      }
    }
  }

  /** A prompt counted as answered whose stream had been reset within the prompt. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aStreamThatEndsWithinItsPromptIsNoCompleteAnswer(boolean reset) throws Exception {
    String answer = "HTTP/1.1 200 OK\r\n\r\ndata: {\"id\":1}\n\n";
    assertNotEquals(ExitCode.DONE, run(answer, reset, "send", "--tokens", MANY_TOKENS));
  }

  /** A call counted as answered by what is no answer. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 0200 X\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nContent Length: 60\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nContent-Length : 60\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nContent\u0001Length: 60\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\n Content-Length: 60\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nContent-Length: 60\r\n\r\n{}"
      })
  void aCallWithABrokenAnswerIsNotDone(String answer) throws Exception {
    assertNotEquals(ExitCode.DONE, run(answer, false, "send", "--path", "/orders/1"));
    assertNotEquals(ExitCode.DONE, run(answer, false, "drain"));
    assertNotEquals(ExitCode.DONE, run(answer, false, "status"));
  }

  /** A call counted as answered whose answer had been reset. */
  @ParameterizedTest
  @ValueSource(strings = {"send", "status"})
  void anAnswerThatIsResetIsNoCompleteOne(String command) throws Exception {
    String answer = "HTTP/1.1 200 OK\r\n\r\n{}";
    String[] call =
        command.equals("send")
            ? new String[] {"send", "--path", "/orders/1"}
            : new String[] {command};
    assertNotEquals(ExitCode.DONE, run(answer, true, call));
  }
}
