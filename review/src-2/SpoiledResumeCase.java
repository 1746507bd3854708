import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Faulty engines cut a few streams off, and hand out a wrong byte in a few answers: in the status of
 * some that continue such a stream. Counts the streams that have no end long after their time.
 */
public final class SpoiledResumeCase {
  private static final int ENGINES = 5;

  /** Engines that are faulty: 0.6 of them. */
  private static final int FAULTY = 3;

  /** Part of the answers of faulty engines that is cut off or spoiled. */
  private static final double SPOILED_PART = 0.05;

  private static final int EVENTS = 4;
  private static final long GARBLE_MS = 6_900;
  private static final int ROUNDS = 5;
  private static final long INTERVAL_MS = 12;
  private static final int TIMEOUT_MS = 6_000;
  private static final int EXTRA_MS = 500;
  private static final int MIN_LACKING = 8;

  private final Site site;
  private final AtomicInteger lastId = new AtomicInteger();
  private final AtomicInteger complete = new AtomicInteger();
  private final AtomicInteger endedEarly = new AtomicInteger();
  private final AtomicInteger outlasting = new AtomicInteger();
  private final AtomicInteger lacking = new AtomicInteger();
  private final Map<String, AtomicInteger> statuses = new ConcurrentSkipListMap<>();
  private volatile boolean garble;
  private int answers;
  private int cutOff;
  private int spoiled;

  private SpoiledResumeCase(Site site) {
    this.site = site;
  }

  public static void main(String[] args) {
    System.exit(Site.exitCode(args[0], site -> new SpoiledResumeCase(site).run()));
  }

  private int run() throws Exception {
    Store store = site.closeLater(new Store(site));
    store.put("keyed.op", "config", configuration());
    for (int i = 1; i <= ENGINES; i++) {
      boolean faulty = i <= FAULTY;
      String id = "i-llm-" + i;
      site.closeLater(
              new Runner(
                  site,
                  store,
                  id,
                  "llm",
                  "zone-a",
                  ",\"Stage\":\"hybrid\",\"Models\":[{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}]",
                  (request, out) -> stream(id, faulty, request, out)))
          .enter();
    }
    String ipA = site.newIp();
    String ipB = site.newIp();
    int[] ports = {Site.freePort(ipA), Site.freePort(ipA)};
    List<String> seeds = List.of(ipA + ":" + ports[0], ipB + ":" + ports[0]);
    List<Daemon> daemons =
        List.of(daemon("front-a-1", ipA, ports, seeds, store), daemon("front-a-2", ipB, ports, seeds, store));
    for (Daemon daemon : daemons) {
      daemon.start();
    }
    for (Daemon daemon : daemons) {
      daemon.awaitReady(20_000);
    }
    Thread.sleep(2_000);
    List<Thread> clients = new ArrayList<>();
    for (int round = 1; round <= ROUNDS; round++) {
      garble = Site.trouble();
      site.record("round %d: engines hand out wrong bytes: %s", round, garble);
      long untilMs = site.ms() + GARBLE_MS;
      while (site.ms() < untilMs) {
        Daemon daemon = daemons.get(clients.size() % daemons.size());
        clients.add(site.run("client", () -> client(daemon)));
        Thread.sleep(INTERVAL_MS);
      }
      garble = false;
      Thread.sleep(1_000);
    }
    for (Thread client : clients) {
      client.join();
    }
    site.record("answers of faulty engines: %d, of them cut off: %d, with a wrong byte: %d", answers, cutOff, spoiled);
    site.record("streams: %d, complete: %d, ended early: %d, by status: %s", clients.size(), complete.get(), endedEarly.get(), statuses);
    site.record(
        "unanswered after TimeoutMs (%d ms): %d; of these %d without an end %d ms later",
        TIMEOUT_MS, outlasting.get(), lacking.get(), EXTRA_MS);
    for (Daemon daemon : daemons) {
      site.record("%s runs: %s", daemon.name(), daemon.runs());
    }
    if (complete.get() == 0) {
      return 2;
    }
    return lacking.get() >= MIN_LACKING && lacking.get() * 4 > outlasting.get() ? 1 : 0;
  }

  private Daemon daemon(String name, String ip, int[] ports, List<String> seeds, Store store)
      throws IOException {
    return site.closeLater(
        new Daemon(site, name, "zone-a", ip, ports, seeds, store.address(), Site.bounds()));
  }

  /** What is wrong with an answer. */
  private enum Fault {
    NONE,
    CUT_OFF,
    WRONG_BYTE
  }

  /** Chooses what is wrong with an answer, within the part that may be. */
  private synchronized Fault fault(boolean faulty, boolean continues) {
    if (!faulty || !garble) {
      return Fault.NONE;
    }
    answers++;
    boolean mayBe = cutOff + spoiled + 1 <= SPOILED_PART * answers;
    if (mayBe && continues) {
      spoiled++;
      return Fault.WRONG_BYTE;
    }
    // A third of them is left for the wrong bytes.
    if (mayBe && cutOff + 1 <= SPOILED_PART * answers * 2 / 3) {
      cutOff++;
      return Fault.CUT_OFF;
    }
    return Fault.NONE;
  }

  private void stream(String engine, boolean faulty, Http.Message request, OutputStream out)
      throws IOException, InterruptedException {
    String id = request.header("X-Request-Id");
    String last = request.header("Last-Event-Id");
    Fault fault = fault(faulty, last != null);
    if (fault != Fault.NONE) {
      site.record("%s: answer to %s, after event %s: %s", engine, id, last == null ? "0" : last, fault);
    }
    Thread.sleep(10);
    out.write(
        Http.bytes(
            "HTTP/1.1 "
                + (fault == Fault.WRONG_BYTE ? "400" : "200")
                + " OK\r\nX-Request-Id: "
                + id
                + "\r\nX-Response-Seal: s-"
                + id
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
    for (int event = last == null ? 1 : Integer.parseInt(last) + 1; event <= EVENTS; event++) {
      String text = "id: " + event + "\ndata: piece " + event + "\n\n";
      out.write(Http.bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
      out.flush();
      if (fault == Fault.CUT_OFF && event == 2) {
        throw new IOException("cut off");
      }
      Thread.sleep(10);
    }
    out.write(Http.bytes("0\r\n\r\n"));
    out.flush();
  }

  private void client(Daemon daemon) throws IOException {
    String id = "r" + lastId.incrementAndGet();
    long sentMs = site.ms();
    try (Client client = new Client(daemon.ip(), daemon.front(), 0)) {
      client.timeout(TIMEOUT_MS);
      client.send(
          "POST /review/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: "
              + id
              + "\r\nX-Model: m\r\nX-Token-Usage: 400,80\r\nX-Prompt-Prefix: a1:40,"
              + Integer.toHexString(0x1000 + lastId.get())
              + ":360\r\nX-Request-Deadline-Ms: 15000\r\nX-Credential: key-1\r\nContent-Length: 2\r\n\r\n{}");
      try {
        Http.Message answer = Http.read(client.in());
        statuses.computeIfAbsent("" + answer.status(), k -> new AtomicInteger()).incrementAndGet();
        (answer.status() == 200 ? complete : endedEarly).incrementAndGet();
      } catch (java.net.SocketTimeoutException e) {
        // Nothing has arrived for TimeoutMs, which is later than TimeoutMs after it was sent.
        outlasting.incrementAndGet();
        client.timeout(EXTRA_MS);
        try {
          int more = client.in().read();
          site.record("%s: %s after %d ms", id, more < 0 ? "closed" : "more bytes", site.ms() - sentMs);
        } catch (java.net.SocketTimeoutException later) {
          lacking.incrementAndGet();
          site.record("%s at %s: no end after %d ms", id, daemon.name(), site.ms() - sentMs);
        }
      } catch (IOException e) {
        endedEarly.incrementAndGet();
      }
    }
  }

  private static String configuration() {
    return "{\"Version\":1,\"Routes\":[{\"Name\":\"review\",\"Host\":\"shop.example\",\"PathPrefix\":\"/review/\","
        + "\"Kind\":\"streaming\",\"TimeoutMs\":"
        + TIMEOUT_MS
        + ",\"TargetLatencyMs\":2500,\"Priority\":1,\"Service\":\"llm\",\"MaxAttempts\":2,\"Public\":false,"
        + "\"StickySessions\":true,\"StreamResume\":true,\"gap_aim_ms\":1000}],\"Services\":[{\"Name\":\"llm\","
        + "\"HealthPath\":\"/health\",\"MaxConnections\":264,\"ColdStartS\":0.0,\"ColdPerS\":0.0,\"Engine\":{"
        + "\"Slots\":16,\"KvCapacity\":232000,\"KvTokenBytes\":327680,\"LinkMbps\":400000.0,\"stride\":43,"
        + "\"Models\":[{\"Name\":\"m\"}],\"step_ms\":1.02,\"per_seq_ms\":0.00226,\"context_per_k\":0.00431,"
        + "\"read_per_s\":206000.0,\"pairs_per_m\":0.138,\"chunk\":2048,\"report_lag_ms\":200.0,\"loads_per_s\":0.0,"
        + "\"loads_at_once\":8,\"delays\":[],\"usual\":{\"prompt\":4960,\"answer\":1376},\"hop_ms\":0.075}}],"
        + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
        + "\"IdleTimeoutMs\":15000},\"Tenants\":[{\"Name\":\"shop\",\"ApiKeys\":[\"key-1\"],\"Priority\":1}]}";
  }
}
