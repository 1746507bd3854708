// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Runs one seed: starts a site, injects faults while callers send requests, ends all faults and
 * reports violations. The calling thread injects the faults; everything else runs on one event
 * loop.
 */
final class Soak {
  /** Time for hosts to serve after the start, and after all faults, in milliseconds. */
  private static final long RECOVERY_MS = 20_000;

  /** Poll interval, in milliseconds. */
  private static final long POLL_MS = 250;

  /**
   * Time for outstanding answers after the last request, in milliseconds: above the deadline of a
   * request. Answers to long prompts are awaited separately.
   */
  private static final long LAST_ANSWERS_MS = Callers.DEADLINE_MS + 1_000;

  private final Config config;
  private final List<Fault> plan;
  private final SoakLoop loop = new SoakLoop();
  private final PromiseChecker checker = new PromiseChecker(SoakSite.REVOKE_MS);
  private volatile SoakSite site;
  private volatile boolean closed;

  /**
   * What to run.
   *
   * @param seed seed of the faults and the requests
   * @param hosts the number of daemons
   * @param lengthMs the time span in which faults start, in milliseconds
   * @param kinds the kinds of faults to inject; empty for a run without faults
   * @param folder the folder for settings and logs of the daemons
   */
  record Config(long seed, int hosts, long lengthMs, Set<Fault.Kind> kinds, Path folder) {}

  /**
   * The result of a seed.
   *
   * @param violations the violated promises; empty if none
   * @param summary the number of requests and how they ended
   */
  record Result(long seed, List<String> violations, String summary) {}

  /** Creates a run with the faults that the seed plans. */
  Soak(Config config) {
    this(config, Fault.plan(config));
  }

  /** Creates a run with given faults. */
  Soak(Config config, List<Fault> plan) {
    this.config = config;
    this.plan = List.copyOf(plan);
  }

  /** Returns the monotonic clock in milliseconds. */
  static long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  /** Runs the seed. */
  Result run() throws InterruptedException, IOException {
    Thread shutdownHook = new Thread(this::terminateDaemons, "end of the soak");
    Runtime.getRuntime().addShutdownHook(shutdownHook);
    try {
      return runSeed();
    } finally {
      terminateDaemons();
      loop.close();
      removeHook(shutdownHook);
    }
  }

  /** Kills the daemons; also called by the shutdown hook, at any point of the run. */
  private void terminateDaemons() {
    closed = true;
    SoakSite started = site;
    if (started != null) {
      started.close();
    }
  }

  private static void removeHook(Thread hook) {
    try {
      Runtime.getRuntime().removeShutdownHook(hook);
    } catch (IllegalStateException e) {
      // The JVM is shutting down and runs the hook.
    }
  }

  private Result runSeed() throws InterruptedException, IOException {
    startSite();
    Callers callers =
        loop.call(() -> new Callers(loop.vertx(), site.callerAddresses(), checker, config.seed()));
    awaitAllServing("after the start");
    loop.run(callers::start);
    injectFaults(callers);
    awaitAllServing("after all faults");
    loop.run(callers::stop);
    Thread.sleep(LAST_ANSWERS_MS);
    awaitAnswers(callers);
    return loop.call(
        () ->
            new Result(
                config.seed(),
                checker.allViolations(nowMs(), site::logsMention),
                checker.summary()));
  }

  private void startSite() throws InterruptedException, IOException {
    boolean linksFail = plan.stream().anyMatch(fault -> fault.kind() == Fault.Kind.LINKS_LOST);
    site =
        loop.call(
            () -> new SoakSite(loop.vertx(), checker, config.hosts(), linksFail, config.folder()));
    loop.callAndAwait(site::start);
    for (HostProcess host : site.hosts()) {
      host.start();
      if (closed) {
        host.terminate();
      }
    }
  }

  /** Waits for the answers to long prompts, at most until their deadline. */
  private void awaitAnswers(Callers callers) throws InterruptedException {
    long untilMs = nowMs() + Callers.LONG_DEADLINE_MS;
    while (loop.call(callers::openRequests) > 0 && nowMs() < untilMs) {
      Thread.sleep(POLL_MS);
    }
  }

  /** Injects the planned faults, or waits if there are none, and ends all faults. */
  private void injectFaults(Callers callers) throws InterruptedException, IOException {
    HostMetrics metrics = loop.call(() -> new HostMetrics(loop.vertx(), site.metricsAddresses()));
    UnreadCallers unreadCallers =
        loop.call(() -> new UnreadCallers(loop.vertx(), site.callerAddresses(), metrics, checker));
    // Seeds from before series of configurations were added are judged as they were then.
    if (plan.stream().anyMatch(fault -> fault.kind() == Fault.Kind.CONFIGURE_OFTEN)) {
      loop.run(() -> metrics.checkRevisions(checker.configurations()));
    }
    FaultInjector faults = new FaultInjector(site, checker, callers, unreadCallers, loop);
    if (plan.isEmpty()) {
      Thread.sleep(config.lengthMs());
    } else {
      faults.inject(plan);
    }
    faults.endAll();
  }

  /** Waits until each host serves requests; records a violation if one doesn't in time. */
  private void awaitAllServing(String when) throws InterruptedException {
    long untilMs = nowMs() + RECOVERY_MS;
    for (int host = 0; host < config.hosts(); host++) {
      if (!isServingBy(host, untilMs)) {
        String name = HostSettings.name(host);
        loop.run(() -> checker.recordViolation(name + " does not serve " + when));
        return;
      }
    }
  }

  private boolean isServingBy(int host, long untilMs) throws InterruptedException {
    while (!loop.callAndAwait(
        () -> Probe.isServing(loop.vertx(), site.callerAddresses().get(host)))) {
      if (nowMs() > untilMs) {
        return false;
      }
      Thread.sleep(POLL_MS);
    }
    return true;
  }
}
