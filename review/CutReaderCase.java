// SPDX-License-Identifier: Apache-2.0
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ConcurrentSkipListMap;

/**
 * The daemon that reads the store for its zone is cut from the store and from nothing else. The
 * other daemon of the zone, which nothing happens to, must apply each configuration within
 * ConfigApplyMs. Each configuration adds a route and drops the one that the last one added.
 */
final class CutReaderCase {
  private static final double APPLY_MS = 2_000;
  private static final int CONFIGURATIONS = 8;
  private static final long GAP_MS = 3_700;

  private CutReaderCase() {}

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
    Map<String, Integer> answers = new ConcurrentHashMap<>();
    ConcurrentLinkedQueue<Runner.Run> runs = new ConcurrentLinkedQueue<>();
    ConcurrentSkipListMap<Integer, Double> ackedMs = new ConcurrentSkipListMap<>();
    Site.Daemon first = site.daemon("front-a-1", "zone-a");
    Site.Daemon second = site.daemon("front-a-2", "zone-a");
    site.store.append(Store.OP, "config", configuration(0));
    for (int i = 0; i < 3; i++) {
      site.runner("i-" + i, "narocila", "zone-a", runs::add);
    }
    if (!site.start()) {
      record.say("the daemons did not become ready");
      return 2;
    }
    for (int i = 0; i < 2; i++) {
      boolean newest = i == 0;
      site.threads.execute(() -> probe(site, second, ackedMs, newest, sent, answers));
    }
    site.threads.execute(() -> probe(site, first, ackedMs, true, sent, answers));
    Thread.sleep(5_000);
    if (trouble) {
      site.store.mode(first.name, Store.Mode.SILENT);
      record.say("%s is cut from the store", first.name);
    }
    Thread.sleep(2_000);
    for (int version = 1; version <= CONFIGURATIONS; version++) {
      site.store.append(Store.OP, "config", configuration(version));
      ackedMs.put(version, record.nowMs());
      record.say("configuration %d acknowledged", version);
      Thread.sleep(GAP_MS);
    }
    return judge(site, second, sent, answers, runs, ackedMs);
  }

  private static int judge(
      Site site,
      Site.Daemon second,
      Map<String, Caller.Sent> sent,
      Map<String, Integer> answers,
      Iterable<Runner.Run> runs,
      Map<Integer, Double> ackedMs)
      throws Exception {
    RunRecord record = site.record;
    site.copyLog(second, "table revision", "the platform");
    int refused = 0;
    int served = 0;
    double longestMs = 0;
    for (Caller.Sent request : sent.values()) {
      // Only the requests to the daemon that nothing happened to are judged.
      if (!request.key().equals(second.name)) {
        continue;
      }
      Integer status = answers.get(request.requestId());
      Double acked = ackedMs.get(versionOf(request.path()));
      Double dropped = ackedMs.get(versionOf(request.path()) + 1);
      if (status == null || acked == null || dropped != null && dropped < request.atMs() + 200) {
        continue;
      }
      double afterMs = request.atMs() - acked;
      if (status == 404 && afterMs > APPLY_MS) {
        refused++;
        longestMs = Math.max(longestMs, afterMs);
        record.line(
            "BROKEN: %s on %s, sent %.1f ms after the acknowledgement of its route, got 404",
            request.requestId(), request.path(), afterMs);
      } else if (status == 200) {
        served++;
      }
    }
    int ran = 0;
    for (Runner.Run run : runs) {
      Caller.Sent request = sent.get(run.requestId());
      Double dropped = ackedMs.get(versionOf(run.path()) + 1);
      if (request == null || dropped == null || !request.key().equals(second.name)) {
        continue;
      }
      double afterMs = request.atMs() - dropped;
      if (afterMs > APPLY_MS) {
        ran++;
        longestMs = Math.max(longestMs, afterMs);
        record.line(
            "BROKEN: %s on %s, sent %.1f ms after the acknowledgement that drops its route, ran at"
                + " %s",
            run.requestId(), run.path(), afterMs, run.runner());
      }
    }
    record.say("%d requests on new routes were served by %s", served, second.name);
    if (served == 0) {
      return 2;
    }
    record.say(
        "%s: %d requests on routes that exist got 404, and %d on dropped routes ran, sent later"
            + " than %.0f ms after the acknowledgement; the last one %.1f ms after it",
        second.name, refused, ran, APPLY_MS, longestMs);
    return refused + ran == 0 ? 0 : 1;
  }

  private static int versionOf(String path) {
    return Integer.parseInt(path.split("/")[1].substring(1));
  }

  /** Probes the route that the newest configuration has added, or the one that it has dropped. */
  private static void probe(
      Site site,
      Site.Daemon daemon,
      ConcurrentSkipListMap<Integer, Double> ackedMs,
      boolean newest,
      Map<String, Caller.Sent> sent,
      Map<String, Integer> answers) {
    try (Caller caller =
        new Caller(
            daemon.ip,
            daemon.front(),
            site.record,
            s ->
                sent.put(
                    s.requestId(),
                    new Caller.Sent(s.requestId(), s.path(), daemon.name, s.atMs())))) {
      while (true) {
        int version = ackedMs.isEmpty() ? 0 : ackedMs.lastKey();
        if (newest || version > 0) {
          String path = "/n" + (newest ? version : version - 1) + "/1";
          caller.get(Site.HOST, path, "key", answers);
        }
        Thread.sleep(20);
      }
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private static String configuration(int version) {
    List<String> routes = new ArrayList<>();
    routes.add(Site.route("r-" + version, "/n" + version + "/", "narocila"));
    return Site.configuration(1 + 2 * version, routes, List.of(Site.tenant("desk", "key")));
  }
}
