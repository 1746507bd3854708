// SPDX-License-Identifier: Apache-2.0
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * The configuration grows by many routes, until it is larger than 1 MB; then a key is revoked. The
 * requests of the revoked key that are sent later than RevokeMs after the acknowledgement must not
 * run. Nothing else happens to the daemons or the store.
 */
final class LargeConfigurationCase {
  private static final double REVOKE_MS = 5_000;
  private static final int STEPS = 8;
  private static final int ROUTES_EACH = 700;
  private static final long GAP_MS = 1_500;
  private static final long WATCHED_MS = 20_000;

  private LargeConfigurationCase() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int code = 2;
    try (Site site = new Site(Path.of(args[0]), Path.of(args[1]))) {
      code = run(site, trouble);
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(code);
  }

  private static int run(Site site, boolean trouble) throws Exception {
    RunRecord record = site.record;
    Map<String, Caller.Sent> sent = new ConcurrentHashMap<>();
    ConcurrentLinkedQueue<Runner.Run> runs = new ConcurrentLinkedQueue<>();
    List<Site.Daemon> daemons =
        List.of(site.daemon("front-a-1", "zone-a"), site.daemon("front-b-1", "zone-b"));
    int routes = 10;
    site.store.append(Store.OP, "config", configuration(1, routes, true));
    for (int i = 0; i < 3; i++) {
      site.runner("i-" + i, "narocila", i == 0 ? "zone-a" : "zone-b", runs::add);
    }
    if (!site.start()) {
      record.say("the daemons did not become ready");
      return 2;
    }
    for (Site.Daemon daemon : daemons) {
      site.threads.execute(() -> call(site, daemon, "key-kept", sent));
      site.threads.execute(() -> call(site, daemon, "key-revoked", sent));
    }
    Thread.sleep(3_000);
    for (int i = 1; i <= STEPS; i++) {
      routes += trouble ? ROUTES_EACH : 0;
      String configuration = configuration(1 + 2 * i, routes, true);
      site.store.append(Store.OP, "config", configuration);
      record.say(
          "configuration %d of %d bytes, %d routes, acknowledged",
          1 + 2 * i, configuration.length(), routes);
      Thread.sleep(GAP_MS);
    }
    Thread.sleep(2_000);
    int version = 3 + 2 * STEPS;
    site.store.append(Store.OP, "config", configuration(version, routes, false));
    double ackedMs = record.nowMs();
    record.say("configuration %d, which takes key-revoked away, acknowledged", version);
    Thread.sleep(WATCHED_MS);
    return judge(site, daemons, sent, runs, ackedMs);
  }

  private static int judge(
      Site site,
      List<Site.Daemon> daemons,
      Map<String, Caller.Sent> sent,
      Iterable<Runner.Run> runs,
      double ackedMs)
      throws Exception {
    RunRecord record = site.record;
    for (Site.Daemon daemon : daemons) {
      site.copyLog(daemon, "table revision", "the platform", "ERROR");
    }
    int late = 0;
    int kept = 0;
    double lastMs = 0;
    for (Runner.Run run : runs) {
      Caller.Sent request = sent.get(run.requestId());
      if (request == null || request.atMs() <= ackedMs + REVOKE_MS) {
        continue;
      }
      if (request.key().equals("key-kept")) {
        kept++;
        continue;
      }
      late++;
      lastMs = Math.max(lastMs, request.atMs());
      record.line(
          "BROKEN: %s of the revoked key, sent %.1f ms after the acknowledgement, ran at %s",
          run.requestId(), request.atMs() - ackedMs, run.runner());
    }
    record.say("%d requests of the other key ran later than the bound", kept);
    if (kept == 0) {
      record.say("the daemons did not serve, so that nothing is shown");
      return 2;
    }
    record.say(
        "%d requests of the revoked key ran that were sent later than %.0f ms after the"
            + " acknowledgement, the last one %.1f ms after it",
        late, REVOKE_MS, late == 0 ? 0 : lastMs - ackedMs);
    return late == 0 ? 0 : 1;
  }

  private static void call(
      Site site, Site.Daemon daemon, String key, Map<String, Caller.Sent> sent) {
    try (Caller caller =
        new Caller(daemon.ip, daemon.front(), site.record, s -> sent.put(s.requestId(), s))) {
      while (true) {
        caller.get(Site.HOST, "/cena/1", key);
        Thread.sleep(50);
      }
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private static String configuration(long version, int routes, boolean withKey) {
    List<String> all = new ArrayList<>();
    all.add(Site.route("price-lookup", "/cena/", "narocila"));
    for (int i = 0; i < routes; i++) {
      all.add(Site.route("r-" + i, "/r" + i + "/", "narocila"));
    }
    String[] keys = withKey ? new String[] {"key-revoked", "key-new"} : new String[] {"key-new"};
    return Site.configuration(
        version, all, List.of(Site.tenant("kept", "key-kept"), Site.tenant("gone", keys)));
  }
}
