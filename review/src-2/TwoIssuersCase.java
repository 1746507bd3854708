import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One daemon is cut off from the other daemons while those are replaced as planned, at other
 * addresses. Then a runner that all of them reach turns cold. Counts what it gets in any second.
 */
public final class TwoIssuersCase {
  private static final int COLD_PER_S = 17;
  private static final double COLD_OVERSHOOT = 1.5;
  private static final int COLD_SLACK = 5;
  private static final long CUT_MS = 12_000;
  private static final long COLD_MS = 4_500;
  private static final long GRACE_MS = 8_000;

  /** When the runner turns cold, after the beginning of the cut. */
  private static final long COLD_AFTER_MS = 7_000;

  /** Interval of the requests that each of two groups of clients sends. */
  private static final long INTERVAL_MS = 25;

  /** A request that arrived at the runner. */
  private record Arrival(String id, long sentMs, long arrivedMs) {}

  private final Site site;
  private final Map<String, Long> sentMs = new ConcurrentHashMap<>();
  private final ConcurrentLinkedQueue<Arrival> arrivals = new ConcurrentLinkedQueue<>();
  private final Map<String, AtomicInteger> statuses = new ConcurrentHashMap<>();
  private final AtomicInteger lastId = new AtomicInteger();
  private volatile boolean sending = true;

  private TwoIssuersCase(Site site) {
    this.site = site;
  }

  public static void main(String[] args) {
    System.exit(Site.exitCode(args[0], site -> new TwoIssuersCase(site).run()));
  }

  private int run() throws Exception {
    Store store = site.closeLater(new Store(site));
    store.put("keyed.op", "config", configuration());
    Runner runner = site.closeLater(runner(store)).enter();
    String ipA = site.newIp();
    int[] ports = {Site.freePort(ipA), Site.freePort(ipA)};
    String ip1 = site.newIp();
    String ip2 = site.newIp();
    String ip3 = site.newIp();
    String ip4 = site.newIp();
    String wayToA = site.newIp();
    Relay relay = site.closeLater(new Relay(site, wayToA, ports[0], ipA));
    List<String> seeds = seeds(ports, ipA, ip1, ip2);
    Daemon a = daemon("front-a-1", "zone-a", ipA, ports, seeds, store);
    Daemon b1 = daemon("front-b-1", "zone-b", ip1, ports, seeds, store);
    Daemon b2 = daemon("front-b-2", "zone-b", ip2, ports, seeds, store);
    for (Daemon daemon : List.of(a, b1, b2)) {
      daemon.start();
    }
    for (Daemon daemon : List.of(a, b1, b2)) {
      daemon.awaitReady(20_000);
    }
    Thread.sleep(5_000);

    // Planned: the machines of zone b are replaced; they get SIGTERM, and new ones come.
    b1.term();
    Thread.sleep(1_000);
    b2.term();
    if (!b1.awaitEnd(GRACE_MS) || !b2.awaitEnd(GRACE_MS)) {
      site.record("a daemon did not end in its grace period");
      return 2;
    }
    // The disruption: from now on, the machine of zone a and the others don't reach each other.
    relay.cut(Site.trouble());
    long cutMs = site.ms();
    site.record(Site.trouble() ? "front-a-1 is cut off from the other daemons" : "no cut");
    List<String> newSeeds = seeds(ports, wayToA, ip3);
    Daemon b3 = daemon("front-b-3", "zone-b", ip3, ports, newSeeds, store);
    Daemon b4 = daemon("front-b-4", "zone-b", ip4, ports, newSeeds, store);
    b3.start();
    b4.start();
    b3.awaitReady(20_000);
    b4.awaitReady(20_000);
    site.run("clients of a", () -> send(a));
    site.run("clients of b", () -> send(b3));
    Thread.sleep(Math.max(0, cutMs + COLD_AFTER_MS - site.ms()));
    runner.cold(COLD_MS);
    long coldMs = site.ms();
    site.record("the runner turns cold for %d ms; its entry in the store says so", COLD_MS);
    Thread.sleep(COLD_MS);
    long warmMs = site.ms();
    site.record("the runner is warm again");
    relay.cut(false);
    sending = false;
    Thread.sleep(1_500);
    for (Daemon daemon : List.of(a, b3, b4)) {
      site.record("%s on permits: %s", daemon.name(), daemon.log("ermit").stream().limit(8).toList());
    }
    return judge(coldMs, warmMs);
  }

  private Runner runner(Store store) throws IOException {
    return new Runner(
        site,
        store,
        "i-app-1",
        "app",
        "zone-a",
        "",
        (request, out) -> {
          String id = request.header("X-Request-Id");
          arrivals.add(new Arrival(id, sentMs.get(id), site.ms()));
          Runner.send(
              out, 200, "X-Request-Id: " + id + "\r\nX-Response-Seal: s-" + id + "\r\n", "ok");
        });
  }

  private static List<String> seeds(int[] ports, String... ips) {
    List<String> seeds = new ArrayList<>();
    for (String ip : ips) {
      seeds.add(ip + ":" + ports[0]);
    }
    return seeds;
  }

  private Daemon daemon(
      String name, String zone, String ip, int[] ports, List<String> seeds, Store store)
      throws IOException {
    return site.closeLater(
        new Daemon(site, name, zone, ip, ports, seeds, store.address(), Site.bounds()));
  }

  /** Sends requests to a daemon at an even rate, each on a connection and a thread of its own. */
  private void send(Daemon daemon) throws InterruptedException {
    long nextMs = site.ms();
    while (sending) {
      site.run("client", () -> sendOne(daemon));
      nextMs += INTERVAL_MS;
      Thread.sleep(Math.max(0, nextMs - site.ms()));
    }
  }

  private void sendOne(Daemon daemon) {
    String id = daemon.name() + "-r" + lastId.incrementAndGet();
    String outcome;
    try (Client client = new Client(daemon.ip(), daemon.front(), 0)) {
      sentMs.put(id, site.ms());
      outcome =
          ""
              + client
                  .call(
                      "GET /prices/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: "
                          + id
                          + "\r\nX-Request-Deadline-Ms: 4000\r\nX-Credential: key-1\r\n\r\n",
                      4_000)
                  .status();
    } catch (SocketTimeoutException e) {
      outcome = "deadline";
    } catch (IOException e) {
      outcome = "closed";
    }
    statuses.computeIfAbsent(daemon.name() + " " + outcome, k -> new AtomicInteger()).incrementAndGet();
  }

  /** Applies the rule to each span of a second in which the runner was cold. */
  private int judge(long coldMs, long warmMs) {
    List<Arrival> all = new ArrayList<>(arrivals);
    double permitted = COLD_PER_S * COLD_OVERSHOOT + COLD_SLACK;
    int most = 0;
    long mostFromMs = coldMs;
    // What hosts send before they can have read the entry is left aside, beyond the rule.
    for (long fromMs = coldMs + 1_500; fromMs + 1_000 <= warmMs; fromMs += 10) {
      long from = fromMs;
      int count =
          (int) all.stream().filter(a -> a.sentMs() >= from && a.arrivedMs() < from + 1_000).count();
      if (count > most) {
        most = count;
        mostFromMs = from;
      }
    }
    for (long fromMs = coldMs; fromMs < warmMs; fromMs += 500) {
      long from = fromMs;
      site.record(
          "arrivals from %d ms on, in 500 ms: %d of front-a-1, %d of front-b-3",
          from,
          all.stream().filter(a -> in(a, from) && a.id().startsWith("front-a")).count(),
          all.stream().filter(a -> in(a, from) && a.id().startsWith("front-b")).count());
    }
    site.record("outcomes by daemon and status: %s", statuses);
    site.record(
        "most requests that were sent and arrived within a second: %d, from %d ms on; permitted: %.1f",
        most, mostFromMs, permitted);
    if (all.isEmpty()) {
      return 2;
    }
    return most > permitted ? 1 : 0;
  }

  private static boolean in(Arrival arrival, long fromMs) {
    return arrival.arrivedMs() >= fromMs && arrival.arrivedMs() < fromMs + 500;
  }

  private static String configuration() {
    return "{\"Version\":1,\"Routes\":[{\"Name\":\"prices\",\"Host\":\"shop.example\",\"PathPrefix\":\"/prices/\","
        + "\"Kind\":\"safe\",\"TimeoutMs\":4000,\"TargetLatencyMs\":60,\"Priority\":1,\"Service\":\"app\","
        + "\"MaxAttempts\":2,\"Public\":false}],\"Services\":[{\"Name\":\"app\",\"HealthPath\":\"/health\","
        + "\"MaxConnections\":96,\"ColdStartS\":3.0,\"ColdPerS\":"
        + COLD_PER_S
        + ".0}],\"Limits\":{\"MaxHeaderBytes\":16384,"
        + "\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
        + "\"Tenants\":[{\"Name\":\"shop\",\"ApiKeys\":[\"key-1\"],\"Priority\":1}]}";
  }
}
