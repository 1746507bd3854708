// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Plays one seed: starts a site, lets faults come while callers send, ends all faults, and says
 * what was broken. The thread that calls it carries the faults out; all else is on one event loop.
 */
final class Soak {
  /** How long hosts may take to serve after their start, and after all faults, in milliseconds. */
  private static final long RECOVERY_MS = 20_000;

  /** The time between two looks at whether all hosts serve, in milliseconds. */
  private static final long LOOK_MS = 250;

  /**
   * The time for last answers after the last request, in milliseconds: above its deadline. It is
   * longer only where a long prompt is still asked.
   */
  private static final long LAST_ANSWERS_MS = Callers.DEADLINE_MS + 1_000;

  private final Order order;
  private final List<Fault> plan;
  private final SoakLoop loop = new SoakLoop();
  private final Ledger ledger = new Ledger(SoakSite.REVOKE_MS);
  private volatile SoakSite site;
  private volatile boolean over;

  /**
   * What is to be played.
   *
   * @param seed decides on the faults and the requests
   * @param hosts how many daemons there are
   * @param lengthMs how long faults begin, in milliseconds
   * @param kinds the faults that come; none for a calm play
   * @param folder where settings and logs of the daemons go
   */
  record Order(long seed, int hosts, long lengthMs, Set<Fault.Kind> kinds, Path folder) {}

  /**
   * What a seed showed.
   *
   * @param broken what was broken; empty when nothing was
   * @param summary the requests and how they ended
   */
  record Result(long seed, List<String> broken, String summary) {}

  /** Makes a play of the faults that a seed plans. */
  Soak(Order order) {
    this(order, Fault.plan(order));
  }

  /** Makes a play of chosen faults, which begin in their order. */
  Soak(Order order, List<Fault> plan) {
    this.order = order;
    this.plan = List.copyOf(plan);
  }

  /** Returns the steady clock in milliseconds. */
  static long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  /** Plays the seed. */
  Result call() throws InterruptedException, IOException {
    Thread atSignal = new Thread(this::endDaemons, "end of the soak");
    Runtime.getRuntime().addShutdownHook(atSignal);
    try {
      return play();
    } finally {
      endDaemons();
      loop.close();
      dropHook(atSignal);
    }
  }

  /** Ends what the soak started; a signal may end the soak at any moment. */
  private void endDaemons() {
    over = true;
    SoakSite started = site;
    if (started != null) {
      started.end();
    }
  }

  private static void dropHook(Thread hook) {
    try {
      Runtime.getRuntime().removeShutdownHook(hook);
    } catch (IllegalStateException e) {
      // A signal ends this process, and the hook runs.
    }
  }

  private Result play() throws InterruptedException, IOException {
    startSite();
    Callers callers =
        loop.call(() -> new Callers(loop.vertx(), site.callers(), ledger, order.seed()));
    untilAllServe("after the start");
    loop.run(callers::start);
    playFaults(callers);
    untilAllServe("after all faults");
    loop.run(callers::stop);
    Thread.sleep(LAST_ANSWERS_MS);
    untilAnswered(callers);
    return loop.call(
        () -> new Result(order.seed(), ledger.verdict(nowMs(), site::logsName), ledger.summary()));
  }

  private void startSite() throws InterruptedException, IOException {
    site = loop.call(() -> new SoakSite(loop.vertx(), ledger, order.hosts(), order.folder()));
    loop.callAndAwait(site::start);
    for (HostProcess host : site.hosts()) {
      host.start();
      if (over) {
        host.endForGood();
      }
    }
  }

  /** Waits for the answers of long prompts; their callers give up at their deadlines. */
  private void untilAnswered(Callers callers) throws InterruptedException {
    long untilMs = nowMs() + Callers.LONG_DEADLINE_MS;
    while (loop.call(callers::open) > 0 && nowMs() < untilMs) {
      Thread.sleep(LOOK_MS);
    }
  }

  /** Lets the faults of the seed come, or as much time pass, and ends them all. */
  private void playFaults(Callers callers) throws InterruptedException, IOException {
    FaultPlayer faults = new FaultPlayer(site, ledger, callers, loop);
    if (plan.isEmpty()) {
      Thread.sleep(order.lengthMs());
    } else {
      faults.play(plan);
    }
    faults.heal();
  }

  /** Waits until each host has served a request that was sent from now on. */
  private void untilAllServe(String when) throws InterruptedException {
    long untilMs = nowMs() + RECOVERY_MS;
    for (int host = 0; host < order.hosts(); host++) {
      if (!servesBy(host, untilMs)) {
        String name = HostSettings.name(host);
        loop.run(() -> ledger.broken(name + " does not serve " + when));
        return;
      }
    }
  }

  private boolean servesBy(int host, long untilMs) throws InterruptedException {
    while (!loop.callAndAwait(() -> Probe.call(loop.vertx(), site.callers().get(host)))) {
      if (nowMs() > untilMs) {
        return false;
      }
      Thread.sleep(LOOK_MS);
    }
    return true;
  }
}
