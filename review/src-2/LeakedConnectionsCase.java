import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One daemon loses its path to a runner for some seconds, and sends its requests through the other
 * daemons. The runner answers long requests before it has read them, and reads on later. Counts which
 * requests are served long after all is well again.
 */
public final class LeakedConnectionsCase {
  private static final long CUT_MS = 5_000;
  /** How long before the end of the cut no more long requests are sent, in milliseconds. */
  private static final long LAST_MS = 300;

  private static final long RECOVERY_MS = 12_000;
  private static final int BODY_BYTES = 500_000;
  private static final long INTERVAL_MS = 30;
  /** How long the runner works on a short request, in milliseconds; long ones it answers at once. */
  private static final long WORK_MS = 60;

  private static final int DEADLINE_MS = 4_000;
  private static final int LATER_REQUESTS = 15;

  private final Site site;
  private final AtomicInteger lastId = new AtomicInteger();
  private final AtomicInteger runs = new AtomicInteger();
  private volatile boolean sending = true;

  private LeakedConnectionsCase(Site site) {
    this.site = site;
  }

  public static void main(String[] args) {
    System.exit(Site.exitCode(args[0], site -> new LeakedConnectionsCase(site).run()));
  }

  private int run() throws Exception {
    Store store = site.closeLater(new Store(site));
    store.put("keyed.op", "config", configuration());
    Runner runner =
        site.closeLater(
            new Runner(
                site,
                store,
                "i-app-1",
                "app",
                "zone-b",
                "",
                (request, out) -> {
                  runs.incrementAndGet();
                  if (request.body().length > 0) {
                    Thread.sleep(WORK_MS);
                  }
                  String id = request.header("X-Request-Id");
                  Runner.send(
                      out, 200, "X-Request-Id: " + id + "\r\nX-Response-Seal: s-" + id + "\r\n", "ok");
                }));
    Relay way = site.closeLater(new Relay(site, site.newIp(), 0, runner.ip(), runner.port()));
    String viewOfA = store.view(value -> value.replace(runner.address(), way.address()));
    runner.enter();
    String ipA = site.newIp();
    String ipB = site.newIp();
    String ipC = site.newIp();
    int[] ports = {Site.freePort(ipA), Site.freePort(ipA)};
    // Each daemon has a view of the store of its own, so that the way of one to the runner can be cut. They
    // meet only after each has read its view: from then on none takes over the address of another one.
    List<Relay> meetings = new ArrayList<>();
    List<String> seeds = new ArrayList<>();
    for (String ip : List.of(ipA, ipB, ipC)) {
      Relay meeting = site.closeLater(new Relay(site, site.newIp(), ports[0], ip));
      meeting.cut(true);
      meetings.add(meeting);
      seeds.add(meeting.address());
    }
    Daemon a = daemon("front-a-1", "zone-a", ipA, ports, seeds, viewOfA);
    Daemon b = daemon("front-b-1", "zone-b", ipB, ports, seeds, store.address());
    Daemon c = daemon("front-c-1", "zone-c", ipC, ports, seeds, store.address());
    List<Daemon> daemons = List.of(a, b, c);
    for (Daemon daemon : daemons) {
      daemon.start();
    }
    for (Daemon daemon : daemons) {
      daemon.awaitReady(20_000);
    }
    Thread.sleep(1_500);
    meetings.forEach(meeting -> meeting.cut(false));
    Thread.sleep(3_000);
    int servedBefore = served("before", daemons);

    // The disruption: daemon a alone can't reach the runner.
    if (Site.trouble()) {
      way.refuse(true);
      site.record("the path of front-a-1 to the runner is cut (refused)");
    }
    Map<String, AtomicInteger> outcomes = new ConcurrentHashMap<>();
    Thread clients = site.run("clients of a", () -> sendLong(a, outcomes));
    Thread.sleep(CUT_MS - LAST_MS);
    sending = false;
    Thread.sleep(LAST_MS);
    if (Site.trouble()) {
      way.refuse(false);
    }
    site.record("all is well again");
    clients.join();
    site.record("outcomes of long requests at front-a-1: %s", outcomes);
    site.record("the runner ran %d in all; it has %d open connections", runs.get(), runner.connections());
    Thread.sleep(RECOVERY_MS);
    site.record("%d ms later, the runner has %d open connections", RECOVERY_MS, runner.connections());
    int servedAfter = served("after", daemons);
    for (Daemon daemon : daemons) {
      site.record("%s on links: %s", daemon.name(), daemon.log("ink to").stream().limit(3).toList());
    }
    int each = LATER_REQUESTS * daemons.size();
    site.record("served before: %d of %d; more than %d ms after: %d", servedBefore, each, RECOVERY_MS, servedAfter);
    if (servedBefore * 4 < each || !daemons.stream().allMatch(Daemon::runs)) {
      return 2;
    }
    return servedAfter * 4 < each ? 1 : 0;
  }

  private Daemon daemon(
      String name, String zone, String ip, int[] ports, List<String> seeds, String store)
      throws IOException {
    return site.closeLater(new Daemon(site, name, zone, ip, ports, seeds, store, Site.bounds()));
  }

  /** Sends long requests at an even rate. */
  private void sendLong(Daemon daemon, Map<String, AtomicInteger> outcomes) throws Exception {
    String body = "x".repeat(BODY_BYTES);
    List<Thread> all = new ArrayList<>();
    while (sending) {
      all.add(
          site.run(
              "client",
              () ->
                  outcomes
                      .computeIfAbsent(order(daemon, body), k -> new AtomicInteger())
                      .incrementAndGet()));
      Thread.sleep(INTERVAL_MS);
    }
    for (Thread thread : all) {
      thread.join(DEADLINE_MS);
    }
  }

  /** Sends short requests to all daemons in turn; returns how many are served. */
  private int served(String when, List<Daemon> daemons) throws Exception {
    Map<String, AtomicInteger> outcomes = new ConcurrentSkipListMap<>();
    List<Thread> all = new ArrayList<>();
    AtomicInteger served = new AtomicInteger();
    for (int i = 0; i < LATER_REQUESTS * daemons.size(); i++) {
      Daemon daemon = daemons.get(i % daemons.size());
      all.add(
          site.run(
              "client",
              () -> {
                String status = order(daemon, "{}");
                served.addAndGet(status.equals("200") ? 1 : 0);
                String outcome = daemon.name() + " " + status;
                outcomes.computeIfAbsent(outcome, k -> new AtomicInteger()).incrementAndGet();
              }));
      Thread.sleep(100);
    }
    for (Thread thread : all) {
      thread.join(2 * DEADLINE_MS);
    }
    site.record("%s: short requests: %s", when, outcomes);
    return served.get();
  }

  /** Sends an order that may run once only; returns its status, or how it ended without one. */
  private String order(Daemon daemon, String body) {
    String id = daemon.name() + "-r" + lastId.incrementAndGet();
    try (Client client = new Client(daemon.ip(), daemon.front(), 0)) {
      return ""
          + client
              .call(
                  "POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: "
                      + id
                      + "\r\nX-Request-Deadline-Ms: "
                      + DEADLINE_MS
                      + "\r\nX-Credential: key-1\r\nContent-Length: "
                      + body.length()
                      + "\r\n\r\n"
                      + body,
                  DEADLINE_MS + 500)
              .status();
    } catch (IOException e) {
      return e.toString();
    }
  }

  private static String configuration() {
    return "{\"Version\":1,\"Routes\":[{\"Name\":\"orders\",\"Host\":\"shop.example\",\"PathPrefix\":\"/orders/\","
        + "\"Kind\":\"unsafe\",\"TimeoutMs\":4000,\"TargetLatencyMs\":400,\"Priority\":1,\"Service\":\"app\","
        + "\"MaxAttempts\":1,\"Public\":false}],\"Services\":[{\"Name\":\"app\",\"HealthPath\":\"/health\","
        + "\"MaxConnections\":96,\"ColdStartS\":0.0,\"ColdPerS\":0.0}],\"Limits\":{\"MaxHeaderBytes\":16384,"
        + "\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
        + "\"Tenants\":[{\"Name\":\"shop\",\"ApiKeys\":[\"key-1\"],\"Priority\":1}]}";
  }
}
