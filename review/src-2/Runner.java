import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stand-in for a sound runner. It keeps its entry in the store, checks for whom a request is, and
 * has its work done by the case.
 */
final class Runner implements AutoCloseable {
  /** Interval at which it writes its entry, in milliseconds. */
  private static final long BEAT_MS = 1_200;

  /** Connections that it accepts from all callers together; it resets any more. */
  private static final int MAX_CONNECTIONS = 96;

  /** Requests with bodies above this size are answered before those are read. */
  private static final int LONG_BODY_BYTES = 64 << 10;

  /** What it takes in of a body that it does not read, in bytes. */
  private static final int RECEIVE_BYTES = 32 << 10;

  /** How long it then waits for more of the body before it gives up, in milliseconds. */
  private static final int BODY_TIMEOUT_MS = 30_000;

  /** How long it reads nothing after such an answer, in milliseconds. */
  private static final long LATER_MS = 500;

  private final Site site;
  private final Store store;
  private final String id;
  private final String service;
  private final String zone;
  private final String extra;
  private final Work work;
  private final ServerSocket server;
  private final AtomicLong sequence = new AtomicLong();
  private final AtomicInteger running = new AtomicInteger();
  private volatile long coldUntilMs;
  private final int maxConnections;
  private final AtomicInteger connections = new AtomicInteger();
  private volatile boolean closed;

  /** Runs a request that this runner has accepted, and writes the answer. */
  interface Work {
    void run(Http.Message request, OutputStream out) throws IOException, InterruptedException;
  }

  /**
   * Starts a runner.
   *
   * @param extra further fields of its entry, each after a comma; those of a model engine
   */
  Runner(Site site, Store store, String id, String service, String zone, String extra, Work work)
      throws IOException {
    this.site = site;
    this.store = store;
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.extra = extra;
    this.work = work;
    this.maxConnections = MAX_CONNECTIONS;
    this.server = Site.listen(site.newIp());
    server.setReceiveBufferSize(RECEIVE_BYTES);
    site.run(id, this::accept);
  }

  /** Returns where it listens, as IP:PORT. */
  String address() {
    return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
  }

  int port() {
    return server.getLocalPort();
  }

  String ip() {
    return server.getInetAddress().getHostAddress();
  }

  /** Writes its entry now and from now on. */
  Runner enter() {
    site.run(
        id,
        () -> {
          while (!closed) {
            writeEntry();
            Thread.sleep(BEAT_MS);
          }
        });
    return this;
  }

  /** Turns cold, and says so in its entry at once. */
  void cold(long forMs) {
    coldUntilMs = site.ms() + forMs;
    writeEntry();
  }

  /** Returns for how long it is still cold, in milliseconds. */
  long coldMs() {
    return Math.max(0, coldUntilMs - site.ms());
  }

  private void writeEntry() {
    store.put(
        "keyed.servers",
        id,
        String.format(
            "{\"Service\":\"%s\",\"Address\":\"%s:%d\",\"Zone\":\"%s\",\"Version\":\"v1\",\"Slots\":8,"
                + "\"State\":\"ready\",\"ColdRemainingMs\":%d,\"Sequence\":%d%s}",
            service,
            server.getInetAddress().getHostAddress(),
            server.getLocalPort(),
            zone,
            coldMs(),
            sequence.incrementAndGet(),
            extra));
  }

  private void accept() throws IOException {
    while (!server.isClosed()) {
      Socket socket = server.accept();
      if (connections.incrementAndGet() > maxConnections) {
        socket.setSoLinger(true, 0);
        socket.close();
        connections.decrementAndGet();
      } else {
        site.run(id, () -> serve(socket));
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      for (Http.Message head = Http.head(in); head != null; head = Http.head(in)) {
        if (length(head) > LONG_BODY_BYTES) {
          // It answers before it has read a long body, holds the connection and reads on later.
          answer(head, socket.getOutputStream());
          Thread.sleep(LATER_MS);
          socket.setSoTimeout(BODY_TIMEOUT_MS);
          Http.body(in, head);
          socket.setSoTimeout(0);
        } else {
          byte[] body = Http.body(in, head);
          answer(new Http.Message(head.line(), head.headers(), body), socket.getOutputStream());
        }
      }
    } catch (IOException | InterruptedException e) {
      // A daemon closed its connection.
    } finally {
      connections.decrementAndGet();
    }
  }

  private static int length(Http.Message head) {
    String length = head.header("Content-Length");
    return length == null ? 0 : Integer.parseInt(length);
  }

  /** Returns the number of its open connections. */
  int connections() {
    return connections.get();
  }

  private void answer(Http.Message call, OutputStream out)
      throws IOException, InterruptedException {
    String target = call.header("X-Target-Instance");
    if (target != null && !target.equals(id)) {
      send(out, 421, "X-Served-By: " + id + "\r\n", "");
    } else if (call.target().equals("/health")) {
      send(out, 200, "X-Served-By: " + id + "\r\n" + coldHeader(), "");
    } else if (call.target().equals("/-/report")) {
      send(
          out,
          200,
          "Content-Type: application/json\r\n",
          "{\"Stage\":\"hybrid\",\"Models\":[],\"Busy\":false,\"Sequence\":0,\"Queued\":0,\"Running\":"
              + running.get()
              + ",\"KvUsed\":0,\"KvTotal\":232000,\"Handles\":0}");
    } else if (call.header("X-Request-Id") == null) {
      send(out, 400, "X-Not-Executed: 1\r\n", "");
    } else {
      running.incrementAndGet();
      try {
        work.run(call, out);
      } finally {
        running.decrementAndGet();
      }
    }
  }

  private String coldHeader() {
    return coldMs() > 0 ? "X-Cold-Start-Ms: " + coldMs() + "\r\n" : "";
  }

  /** Writes an answer with a length. */
  static void send(OutputStream out, int status, String headers, String body) throws IOException {
    out.write(
        Http.bytes(
            "HTTP/1.1 "
                + status
                + " -\r\n"
                + headers
                + "Content-Length: "
                + body.length()
                + "\r\n\r\n"
                + body));
    out.flush();
  }

  @Override
  public void close() throws IOException {
    closed = true;
    server.close();
  }
}
