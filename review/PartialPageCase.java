// SPDX-License-Identifier: Apache-2.0
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * A key is revoked while the store turns the only daemon away that is left, in the middle of
 * configurations that follow each other quickly. The requests of the revoked key that were sent
 * later than RevokeMs after the acknowledgement must not run, whenever the store serves again.
 */
final class PartialPageCase {
  private static final double REVOKE_MS = 5_000;
  private static final int CONFIGURATIONS = 16;
  private static final int REVOKED_BY = 14;
  private static final long GAP_MS = 330;
  private static final int ROUTES = 780;
  private static final int CALLERS = 6;

  private PartialPageCase() {}

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
    Site.Daemon first = site.daemon("front-a-1", "zone-a");
    Site.Daemon second = site.daemon("front-b-1", "zone-b");
    site.store.append(Store.OP, "config", configuration(1, true));
    for (int i = 0; i < 3; i++) {
      site.runner("i-" + i, "narocila", i == 0 ? "zone-a" : "zone-b", runs::add);
    }
    if (!site.start()) {
      record.say("the daemons did not become ready");
      return 2;
    }
    for (int i = 0; i < CALLERS; i++) {
      String key = i % 3 == 0 ? "key-kept" : "key-revoked";
      site.threads.execute(() -> call(site, first, key, sent));
    }
    site.threads.execute(() -> call(site, second, "key-revoked", sent));
    Thread.sleep(4_000);
    if (trouble) {
      second.signal("KILL");
      site.store.mode(first.name, Store.Mode.BUSY);
      record.say("the store turns %s away (503)", first.name);
    }
    Thread.sleep(500);
    double ackedMs = 0;
    for (int i = 1; i <= CONFIGURATIONS; i++) {
      int version = 1 + 3 * i;
      String configuration = configuration(version, i < REVOKED_BY);
      site.store.append(Store.OP, "config", configuration);
      record.say("configuration %d of %d bytes acknowledged", version, configuration.length());
      if (i == REVOKED_BY) {
        ackedMs = record.nowMs();
        record.say("it takes key-revoked away");
      }
      Thread.sleep(GAP_MS);
    }
    Thread.sleep((long) Math.max(0, ackedMs + REVOKE_MS + 1_000 - record.nowMs()));
    if (trouble) {
      record.say("the store serves %s again", first.name);
      site.store.mode(first.name, Store.Mode.SERVING);
    }
    Thread.sleep(6_000);
    return judge(site, first, sent, runs, ackedMs);
  }

  private static int judge(
      Site site,
      Site.Daemon first,
      Map<String, Caller.Sent> sent,
      Iterable<Runner.Run> runs,
      double ackedMs)
      throws Exception {
    RunRecord record = site.record;
    site.copyLog(first, "table revision", "the platform");
    int late = 0;
    int kept = 0;
    double lastMs = 0;
    for (Runner.Run run : runs) {
      Caller.Sent request = sent.get(run.requestId());
      if (request == null) {
        continue;
      }
      boolean afterBound = request.atMs() > ackedMs + REVOKE_MS;
      if (request.key().equals("key-kept")) {
        kept += afterBound ? 1 : 0;
      } else if (afterBound) {
        late++;
        lastMs = Math.max(lastMs, request.atMs());
        record.line(
            "BROKEN: %s of the revoked key, sent %.1f ms after the acknowledgement, ran at %s",
            run.requestId(), request.atMs() - ackedMs, run.runner());
      }
    }
    record.say("%d requests of the other key ran later than the bound", kept);
    if (kept == 0) {
      record.say("the daemon did not serve again, so that nothing is shown");
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
        Thread.sleep(10);
      }
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private static String configuration(long version, boolean withKey) {
    List<String> routes = new ArrayList<>();
    routes.add(Site.route("price-lookup", "/cena/", "narocila"));
    for (int i = 0; i < ROUTES; i++) {
      routes.add(Site.route("r-" + version + "-" + i, "/r" + version + "x" + i + "/", "narocila"));
    }
    List<String> tenants =
        withKey
            ? List.of(
                Site.tenant("kept", "key-kept"), Site.tenant("gone", "key-revoked", "key-new"))
            : List.of(Site.tenant("kept", "key-kept"), Site.tenant("gone", "key-new"));
    return Site.configuration(version, routes, tenants);
  }
}
