import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.List;
import java.util.ArrayList;

/**
 * Clients that read a large answer slowly and without any pause, on kept connections. The request
 * may run once only. Counts the connections that the daemon closed before the whole answer.
 */
public final class SlowReaderCase {
  private static final int CLIENTS = 8;
  private static final int ANSWER_BYTES = 300_000;
  private static final int READ_BYTES = 512;
  private static final int RECEIVE_BYTES = 32_768;
  private static final int BYTES_PER_S = 10_000;
  private static final int DEADLINE_MS = 60_000;

  /** How many such closes the rule permits. */
  private static final int PERMITTED = 3;

  private SlowReaderCase() {}

  public static void main(String[] args) throws Exception {
    System.exit(Site.exitCode(args[0], SlowReaderCase::run));
  }

  private static int run(Site site) throws Exception {
    Store store = site.closeLater(new Store(site));
    store.put("keyed.op", "config", configuration());
    Map<String, Integer> runs = new ConcurrentHashMap<>();
    Map<String, Boolean> whole = new ConcurrentHashMap<>();
    String body = "x".repeat(ANSWER_BYTES);
    Runner runner =
        site.closeLater(
            new Runner(
                site,
                store,
                "i-app-1",
                "app",
                "zone-a",
                "",
                (request, out) -> {
                  String id = request.header("X-Request-Id");
                  runs.merge(id, 1, Integer::sum);
                  String sent = request.target().endsWith("/large") ? body : "small";
                  Runner.send(
                      out, 200, "X-Request-Id: " + id + "\r\nX-Response-Seal: s-" + id + "\r\n", sent);
                  whole.put(id, true);
                  site.record("runner ran %s and wrote its whole answer of %d bytes", id, sent.length());
                }));
    runner.enter();
    String ip = site.newIp();
    int[] ports = {Site.freePort(ip), Site.freePort(ip)};
    Daemon daemon =
        site.closeLater(
            new Daemon(
                site, "front-a-1", "zone-a", ip, ports, List.of(), store.address(), Site.bounds()));
    daemon.start().awaitReady(20_000);
    Thread.sleep(2_000);
    AtomicInteger closed = new AtomicInteger();
    AtomicInteger complete = new AtomicInteger();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      String name = "client-" + i;
      clients.add(site.run(name, () -> client(site, daemon, name, runs, whole, closed, complete)));
    }
    for (Thread client : clients) {
      client.join();
    }
    site.record("daemon's lines: %s", daemon.log("too_slow").stream().limit(2).toList());
    site.record("%d answers complete, %d kept connections closed before", complete.get(), closed.get());
    if (!daemon.runs() || complete.get() + closed.get() < CLIENTS) {
      return 2;
    }
    return closed.get() > PERMITTED ? 1 : 0;
  }

  private static void client(
      Site site,
      Daemon daemon,
      String name,
      Map<String, Integer> runs,
      Map<String, Boolean> whole,
      AtomicInteger closed,
      AtomicInteger complete)
      throws Exception {
    try (Client client = new Client(daemon.ip(), daemon.front(), RECEIVE_BYTES)) {
      Http.Message first = client.call(request("small", name + "-0"), 5_000);
      site.record("%s: first answer on its connection: %d", name, first.status());
      String id = name + "-1";
      long sentMs = site.ms();
      client.timeout(10_000);
      client.send(request("large", id));
      Http.Message head = Http.head(client.in());
      int length = Integer.parseInt(head.header("Content-Length"));
      int[] read = new int[1];
      String end = readSlowly(client.in(), length, read, site);
      boolean sound = runs.getOrDefault(id, 0) == 1 && whole.containsKey(id);
      site.record(
          "%s: status %d, read %d of %d bytes in %d ms, %s; runs %d, runner's answer whole %s",
          id, head.status(), read[0], length, site.ms() - sentMs, end, runs.getOrDefault(id, 0), whole.containsKey(id));
      if (end.equals("complete")) {
        complete.incrementAndGet();
      } else if (sound) {
        closed.incrementAndGet();
      }
    }
  }

  /** Reads at an even rate; returns how that ended, and counts the bytes. */
  private static String readSlowly(InputStream in, int length, int[] read, Site site)
      throws InterruptedException {
    byte[] buffer = new byte[READ_BYTES];
    long startMs = site.ms();
    try {
      while (read[0] < length) {
        int got = in.read(buffer, 0, Math.min(READ_BYTES, length - read[0]));
        if (got < 0) {
          return "closed";
        }
        read[0] += got;
        if (Site.trouble()) {
          long dueMs = startMs + read[0] * 1_000L / BYTES_PER_S;
          Thread.sleep(Math.max(0, dueMs - site.ms()));
        }
      }
      return "complete";
    } catch (IOException e) {
      return "closed: " + e.getMessage();
    }
  }

  private static String request(String what, String id) {
    return "POST /orders/"
        + what
        + " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: "
        + id
        + "\r\nX-Request-Deadline-Ms: "
        + DEADLINE_MS
        + "\r\nX-Credential: key-1\r\nContent-Length: 2\r\n\r\n{}";
  }

  private static String configuration() {
    return "{\"Version\":1,\"Routes\":[{\"Name\":\"orders\",\"Host\":\"shop.example\",\"PathPrefix\":\"/orders/\","
        + "\"Kind\":\"unsafe\",\"TimeoutMs\":60000,\"TargetLatencyMs\":400,\"Priority\":1,\"Service\":\"app\","
        + "\"MaxAttempts\":1,\"Public\":false}],\"Services\":[{\"Name\":\"app\",\"HealthPath\":\"/health\","
        + "\"MaxConnections\":96,\"ColdStartS\":0.0,\"ColdPerS\":0.0}],\"Limits\":{\"MaxHeaderBytes\":16384,"
        + "\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
        + "\"Tenants\":[{\"Name\":\"shop\",\"ApiKeys\":[\"key-1\"],\"Priority\":1}]}";
  }

}
