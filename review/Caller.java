// SPDX-License-Identifier: Apache-2.0
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * A client with one kept connection to one daemon. It sends one request at a time, each with an id
 * of its own.
 */
final class Caller implements AutoCloseable {
  private static final AtomicLong NEXT_ID = new AtomicLong(0x5eed0000L);
  private static final int DEADLINE_MS = 4_000;

  private final String ip;
  private final int port;
  private final RunRecord record;
  private final Consumer<Sent> onSent;
  private Socket socket;
  private InputStream in;

  /**
   * An answer whose head and whole body arrived, by its own framing.
   *
   * @param status the status; -1 if no whole answer arrived
   */
  record Answer(String requestId, int status, String seal, String body) {}

  /** A request, with the time just before its first byte was sent. */
  record Sent(String requestId, String path, String key, double atMs) {}

  Caller(String ip, int port, RunRecord record, Consumer<Sent> onSent) {
    this.ip = ip;
    this.port = port;
    this.record = record;
    this.onSent = onSent;
  }

  /** Sends a GET and returns the status of its answer; -1 without a whole one. */
  int get(String host, String path, String key) {
    return exchange(host, path, key).status();
  }

  /** Sends a GET and adds the status of its answer by its id; nothing if it gets none. */
  void get(String host, String path, String key, Map<String, Integer> answers) {
    Answer answer = exchange(host, path, key);
    if (answer.status() >= 0) {
      answers.put(answer.requestId(), answer.status());
    }
  }

  /** Sends a GET and returns its answer. */
  Answer exchange(String host, String path, String key) {
    String id = Long.toHexString(NEXT_ID.incrementAndGet());
    Answer answer = new Answer(id, -1, null, "");
    boolean sent = false;
    try {
      if (socket == null) {
        socket = new Socket();
        socket.connect(new InetSocketAddress(ip, port), 1_000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(DEADLINE_MS + 500);
        in = new BufferedInputStream(socket.getInputStream());
      }
      String head =
          "GET "
              + path
              + " HTTP/1.1\r\nHost: "
              + host
              + "\r\nX-Request-Id: "
              + id
              + "\r\nX-Request-Deadline-Ms: "
              + DEADLINE_MS
              + "\r\nX-Credential: "
              + key
              + "\r\n\r\n";
      Sent request = new Sent(id, path, key, record.nowMs());
      record.at(request.atMs(), "sent %s %s key %s to %s", id, path, key, ip);
      onSent.accept(request);
      sent = true;
      socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
      answer = readAnswer(id);
    } catch (IOException e) {
      close();
    }
    if (sent) {
      String text = answer.status() < 0 ? "nothing" : Integer.toString(answer.status());
      record.line(
          "answered %s %s, %d bytes, seal %s", id, text, answer.body().length(), answer.seal());
    }
    return answer;
  }

  private Answer readAnswer(String id) throws IOException {
    int status = Integer.parseInt(line().split(" ")[1]);
    int length = 0;
    String seal = null;
    boolean closes = false;
    for (String header = line(); !header.isEmpty(); header = line()) {
      int colon = header.indexOf(':');
      String value = header.substring(colon + 1).trim();
      switch (header.substring(0, colon).toLowerCase(Locale.ROOT)) {
        case "content-length" -> length = Integer.parseInt(value);
        case "x-response-seal" -> seal = value;
        case "connection" -> closes = value.contains("close");
        // The daemons send whole answers with a length.
        case "transfer-encoding" -> throw new IOException("an answer without a length");
        default -> {}
      }
    }
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      throw new IOException("an answer that was broken off");
    }
    if (closes) {
      close();
    }
    return new Answer(id, status, seal, new String(body, StandardCharsets.ISO_8859_1));
  }

  private String line() throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        throw new IOException("closed");
      }
      bytes.write(b);
    }
    return bytes.toString(StandardCharsets.ISO_8859_1).trim();
  }

  @Override
  public void close() {
    try {
      if (socket != null) {
        socket.close();
      }
    } catch (IOException e) {
      // It is not used again.
    }
    socket = null;
  }
}
