import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
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

  /** A request, with the time just before its first byte was sent. */
  record Sent(String requestId, String path, String key, double atMs) {}

  Caller(String ip, int port, RunRecord record, Consumer<Sent> onSent) {
    this.ip = ip;
    this.port = port;
    this.record = record;
    this.onSent = onSent;
  }

  /** Sends a GET and returns the status of its answer; -1 without one. */
  int get(String host, String path, String key) {
    return get(host, path, key, new HashMap<>());
  }

  /** Sends a GET and adds the status of its answer by its id; nothing if it gets none. */
  int get(String host, String path, String key, Map<String, Integer> answers) {
    String id = Long.toHexString(NEXT_ID.incrementAndGet());
    int status = -1;
    Sent sent = null;
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
              + "\r\n"
              + (key == null ? "" : "X-Credential: " + key + "\r\n")
              + "\r\n";
      sent = new Sent(id, path, key, record.nowMs());
      record.at(sent.atMs(), "sent %s %s key %s to %s", id, path, key, ip);
      onSent.accept(sent);
      socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
      status = readAnswer();
      answers.put(id, status);
    } catch (IOException e) {
      close();
    }
    if (sent != null) {
      record.line("answered %s %s", id, status < 0 ? "nothing" : Integer.toString(status));
    }
    return status;
  }

  private int readAnswer() throws IOException {
    int status = Integer.parseInt(line().split(" ")[1]);
    int length = 0;
    boolean closes = false;
    for (String header = line(); !header.isEmpty(); header = line()) {
      String lower = header.toLowerCase(Locale.ROOT);
      if (lower.startsWith("content-length:")) {
        length = Integer.parseInt(lower.substring(15).trim());
      }
      closes |= lower.startsWith("connection:") && lower.contains("close");
    }
    in.readNBytes(length);
    if (closes) {
      close();
    }
    return status;
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
