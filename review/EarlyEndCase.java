// SPDX-License-Identifier: Apache-2.0
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A runner whose answers have no length is killed in the middle of some of them, while the other
 * daemon of the system stands still. What it had written must not reach callers as a whole answer.
 *
 * <p>With FREEZE=0 the other daemon goes on. With KEPT=1 the daemons have connections to the
 * runners that they keep, from other requests: the operating system closes these after the newer
 * ones of the answers, and the runner's port last. Six runners are killed then, one after the
 * other, and each is replaced.
 */
final class EarlyEndCase {
  private static final int CALLERS = 9;
  private static final int CALLERS_WITH_KEPT = 15;
  private static final int KEPT_CALLERS = 115;
  private static final int MORE_KILLS = 5;
  private static final long KEPT_EVERY_MS = 2_000;

  private EarlyEndCase() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    boolean freeze = !"0".equals(System.getenv("FREEZE"));
    int code = 2;
    try (Site site = new Site(Path.of(args[0]), Path.of(args[1]))) {
      code = run(site, trouble, freeze, "1".equals(System.getenv("KEPT")));
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(code);
  }

  private static int run(Site site, boolean trouble, boolean freeze, boolean kept)
      throws Exception {
    RunRecord record = site.record;
    Site.Daemon first = site.daemon("front-a-1", "zone-a");
    Site.Daemon second = site.daemon("front-b-1", "zone-b");
    List<String> routes =
        List.of(
            Site.route("order-status", "/o/", "narocila").replace("\"safe\"", "\"unsafe\""),
            Site.route("order-list", UnframedRunner.KEPT, "narocila"));
    site.store.append(
        Store.OP, "config", Site.configuration(1, routes, List.of(Site.tenant("desk", "key"))));
    List<UnframedRunner.Handle> runners = new ArrayList<>();
    runners.add(site.unframedRunner("i-0", "narocila", "zone-a"));
    runners.add(site.unframedRunner("i-1", "narocila", "zone-a"));
    runners.add(site.unframedRunner("i-2", "narocila", "zone-b"));
    if (!site.start()) {
      record.say("the daemons did not become ready");
      return 2;
    }
    if (kept) {
      openKept(site, first);
      openKept(site, second);
      Thread.sleep(2 * KEPT_EVERY_MS);
    }
    AtomicInteger whole = new AtomicInteger();
    AtomicInteger early = new AtomicInteger();
    AtomicInteger failed = new AtomicInteger();
    // The shorter time gives more answers before the kill, as a daemon that has run for long.
    String path = kept ? "/o/60" : "/o/1000";
    for (int i = 0; i < (kept ? CALLERS_WITH_KEPT : CALLERS); i++) {
      site.threads.execute(() -> call(site, first, path, whole, early, failed));
    }
    Thread.sleep(4_000);
    if (trouble) {
      if (freeze) {
        second.signal("STOP");
        Thread.sleep(800);
      }
      runners.get(0).kill();
      record.say("SIGKILL to runner i-0");
      Thread.sleep(2_500);
      if (freeze) {
        second.signal("CONT");
      }
      for (int i = 1; kept && i <= MORE_KILLS; i++) {
        UnframedRunner.Handle next = site.unframedRunner("i-" + (2 + i), "narocila", "zone-a");
        Thread.sleep(2_500);
        runners.get(i).kill();
        record.say("SIGKILL to runner i-%d", i);
        runners.add(next);
        Thread.sleep(2_500);
      }
    }
    Thread.sleep(4_000);
    record.say("%d answers were whole, %d requests failed visibly", whole.get(), failed.get());
    if (whole.get() == 0) {
      return 2;
    }
    record.say("%d answers ended early and looked complete to their callers", early.get());
    return early.get() == 0 ? 0 : 1;
  }

  /**
   * Has a daemon open connections to the runners, and keep them: many callers send one request each
   * at the same time, every two seconds.
   */
  private static void openKept(Site site, Site.Daemon daemon) {
    for (int i = 0; i < KEPT_CALLERS; i++) {
      site.threads.execute(
          () -> {
            try (Caller caller = new Caller(daemon.ip, daemon.front(), site.record, sent -> {})) {
              while (true) {
                caller.exchange(Site.HOST, UnframedRunner.KEPT + "1", "key");
                Thread.sleep(KEPT_EVERY_MS - (long) site.record.nowMs() % KEPT_EVERY_MS);
              }
            } catch (InterruptedException e) {
              throw new IllegalStateException(e);
            }
          });
    }
  }

  private static void call(
      Site site,
      Site.Daemon daemon,
      String path,
      AtomicInteger whole,
      AtomicInteger early,
      AtomicInteger failed) {
    try (Caller caller = new Caller(daemon.ip, daemon.front(), site.record, sent -> {})) {
      while (true) {
        Caller.Answer answer = caller.exchange(Site.HOST, path, "key");
        if (answer.status() != 200) {
          failed.incrementAndGet();
        } else if (answer.body().equals(UnframedRunner.BODY)) {
          whole.incrementAndGet();
        } else {
          early.incrementAndGet();
          site.record.say(
              "BROKEN: %s got 200 with seal %s and a length of %d; the runner's whole body has %d",
              answer.requestId(),
              answer.seal(),
              answer.body().length(),
              UnframedRunner.BODY.length());
        }
        Thread.sleep(50);
      }
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
