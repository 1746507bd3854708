// SPDX-License-Identifier: Apache-2.0
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/** Stand-in for a runner of a plain service, as PROTOCOL.md describes it. */
final class Runner {
  static final int SLOTS = 6;
  static final int QUEUE = 24;
  private static final long WORK_MS = 8;

  final String id;
  final String service;
  final String address;
  private final String zone;
  private final RunRecord record;
  private final Consumer<Run> onRun;
  private final Semaphore slots = new Semaphore(SLOTS, true);
  private final AtomicInteger inside = new AtomicInteger();
  private final HttpServer server;
  private int sequence;

  /** A run of a request, which began at a time by the record's clock. */
  record Run(String runner, String service, String requestId, String path, double atMs) {}

  Runner(
      String id,
      String service,
      String zone,
      String ip,
      int port,
      ExecutorService threads,
      RunRecord record,
      Consumer<Run> onRun)
      throws IOException {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.address = ip + ":" + port;
    this.record = record;
    this.onRun = onRun;
    server = HttpServer.create(new InetSocketAddress(ip, port), 64);
    server.setExecutor(threads);
    server.createContext("/", this::handle);
    server.start();
  }

  /** Returns its entry, with a sequence that rises. */
  synchronized String entry() {
    return entry(service, address, zone, ++sequence);
  }

  /** Returns the entry of a plain runner that is ready. */
  static String entry(String service, String address, String zone, int sequence) {
    return "{\"Service\":\""
        + service
        + "\",\"Address\":\""
        + address
        + "\",\"Zone\":\""
        + zone
        + "\",\"Version\":\"v1\",\"Slots\":"
        + SLOTS
        + ",\"State\":\"ready\",\"ColdRemainingMs\":0,\"Sequence\":"
        + sequence
        + "}";
  }

  private void handle(HttpExchange exchange) throws IOException {
    exchange.getRequestBody().readAllBytes();
    String requestId = exchange.getRequestHeaders().getFirst("X-Request-Id");
    String target = exchange.getRequestHeaders().getFirst("X-Target-Instance");
    if (target != null && !target.equals(id)) {
      exchange.getResponseHeaders().set("X-Served-By", id);
      answer(exchange, 421, requestId, "");
    } else if (exchange.getRequestURI().getPath().equals("/health")) {
      exchange.getResponseHeaders().set("X-Served-By", id);
      answer(exchange, 200, requestId, "");
    } else if (requestId == null) {
      exchange.getResponseHeaders().set("X-Not-Executed", "1");
      answer(exchange, 400, null, "");
    } else if (inside.incrementAndGet() > SLOTS + QUEUE) {
      inside.decrementAndGet();
      exchange.getResponseHeaders().set("X-Not-Executed", "1");
      answer(exchange, 503, requestId, "");
    } else {
      try {
        run(exchange, requestId);
      } finally {
        inside.decrementAndGet();
      }
    }
  }

  private void run(HttpExchange exchange, String requestId) throws IOException {
    slots.acquireUninterruptibly();
    try {
      String path = exchange.getRequestURI().getPath();
      Run run = new Run(id, service, requestId, path, record.nowMs());
      String tenant = exchange.getRequestHeaders().getFirst("X-Tenant");
      record.at(
          run.atMs(), "run %s %s at %s of %s, tenant %s", requestId, path, id, service, tenant);
      onRun.accept(run);
      Thread.sleep(WORK_MS);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    } finally {
      slots.release();
    }
    exchange.getResponseHeaders().set("X-Response-Seal", "seal." + id + "." + requestId);
    answer(exchange, 200, requestId, "answer of " + id + " to " + requestId);
  }

  private static void answer(HttpExchange exchange, int status, String requestId, String text)
      throws IOException {
    if (requestId != null) {
      exchange.getResponseHeaders().set("X-Request-Id", requestId);
    }
    byte[] body = text.getBytes(StandardCharsets.UTF_8);
    exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
    if (body.length > 0) {
      exchange.getResponseBody().write(body);
    }
    exchange.close();
  }
}
