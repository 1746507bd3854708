// SPDX-License-Identifier: Apache-2.0
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A runner whose answers have no length is killed in the middle of some of them, while the other
 * daemon of the system stands still. What it had written must not reach callers as a whole answer.
 */
final class EarlyEndCase {
  private static final int CALLERS = 9;

  private EarlyEndCase() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    // For comparison: the runner is killed, but the other daemon goes on.
    boolean freeze = !"0".equals(System.getenv("FREEZE"));
    int code = 2;
    try (Site site = new Site(Path.of(args[0]), Path.of(args[1]))) {
      code = run(site, trouble, freeze);
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(code);
  }

  private static int run(Site site, boolean trouble, boolean freeze) throws Exception {
    RunRecord record = site.record;
    Site.Daemon first = site.daemon("front-a-1", "zone-a");
    Site.Daemon second = site.daemon("front-b-1", "zone-b");
    List<String> routes =
        List.of(Site.route("order-status", "/o/", "narocila").replace("\"safe\"", "\"unsafe\""));
    site.store.append(
        Store.OP, "config", Site.configuration(1, routes, List.of(Site.tenant("desk", "key"))));
    List<UnframedRunner.Handle> runners =
        List.of(
            site.unframedRunner("i-0", "narocila", "zone-a"),
            site.unframedRunner("i-1", "narocila", "zone-a"),
            site.unframedRunner("i-2", "narocila", "zone-b"));
    if (!site.start()) {
      record.say("the daemons did not become ready");
      return 2;
    }
    AtomicInteger whole = new AtomicInteger();
    AtomicInteger early = new AtomicInteger();
    AtomicInteger failed = new AtomicInteger();
    for (int i = 0; i < CALLERS; i++) {
      site.threads.execute(() -> call(site, first, whole, early, failed));
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
    }
    Thread.sleep(4_000);
    record.say("%d answers were whole, %d requests failed visibly", whole.get(), failed.get());
    if (whole.get() == 0) {
      return 2;
    }
    record.say("%d answers ended early and looked complete to their callers", early.get());
    return early.get() == 0 ? 0 : 1;
  }

  private static void call(
      Site site,
      Site.Daemon daemon,
      AtomicInteger whole,
      AtomicInteger early,
      AtomicInteger failed) {
    try (Caller caller = new Caller(daemon.ip, daemon.front(), site.record, sent -> {})) {
      while (true) {
        Caller.Answer answer = caller.exchange(Site.HOST, "/o/1", "key");
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
