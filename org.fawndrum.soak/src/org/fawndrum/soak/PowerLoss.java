// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import io.vertx.core.Future;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;

/**
 * A run in which all daemons of a large site lose power at the same moment, under traffic, and are
 * started again at the same moment. The machine pays for all starts at once, in cores.
 */
final class PowerLoss {
  private static final long POLL_MS = 1_000;

  /** Event loops of the stand-ins, unless all of them are to be late together. */
  static final int STANDIN_LOOPS = 8;

  /** Hosts that are started together at first, so that this machine can pay for it. */
  private static final int FIRST_START_GROUP = 4;

  private final Config config;
  private final SoakLoop loop = new SoakLoop();

  /** The stand-ins have loops of their own, so that callers don't wait for them. */
  private final SoakLoop standins;

  /** The callers of each zone have a loop of their own, so that they don't wait for each other. */
  private final List<SoakLoop> callerLoops =
      IntStream.range(0, PowerLossSite.ZONES).mapToObj(zone -> new SoakLoop()).toList();

  private final RecoveryChecker checker;
  private final List<String> processorTimes = new ArrayList<>();
  private final ThreadTimes threadTimes = new ThreadTimes();
  private volatile PowerLossSite site;
  private volatile boolean closed;

  /**
   * What to run.
   *
   * @param seed seed of the requests
   * @param standinLoops event loops of the store and all endpoints together, which are machines of
   *     their own; with one of them, all of them are late when cores are scarce
   * @param endpointsToo whether all endpoints lose power with the hosts, and start again with them
   * @param gapMs time between two requests of all callers, in milliseconds
   * @param startMs time for the hosts to start at first, in milliseconds
   * @param beforeMs how long callers send before the loss, in milliseconds
   * @param downMs how long the power is off, in milliseconds
   * @param recoveryMs time for hosts to serve again after their start, in milliseconds
   * @param judgedMs how long callers send after that, in milliseconds
   * @param folder the folder for settings and logs of the daemons
   * @param options options of the daemons' JVMs
   */
  record Config(
      long seed,
      int hosts,
      int engines,
      int services,
      int standinLoops,
      boolean endpointsToo,
      long gapMs,
      long startMs,
      long beforeMs,
      long downMs,
      long recoveryMs,
      long judgedMs,
      Path folder,
      List<String> options) {}

  /**
   * The result of a run.
   *
   * @param violations the violated promises; empty if none
   * @param timeline a line a second
   */
  record Result(
      List<String> violations,
      String summary,
      List<String> timeline,
      List<String> processorTimes) {}

  PowerLoss(Config config) {
    this.config = config;
    this.standins = new SoakLoop(config.standinLoops());
    this.checker = new RecoveryChecker(config.recoveryMs());
  }

  /** Runs it. */
  Result run() throws InterruptedException, IOException {
    Thread shutdownHook = new Thread(this::terminateDaemons, "end of the run");
    Runtime.getRuntime().addShutdownHook(shutdownHook);
    try {
      return runLoss();
    } finally {
      terminateDaemons();
      loop.close();
      standins.close();
      callerLoops.forEach(SoakLoop::close);
    }
  }

  private void terminateDaemons() {
    closed = true;
    PowerLossSite started = site;
    if (started != null) {
      started.close();
    }
  }

  private Result runLoss() throws InterruptedException, IOException {
    site =
        new PowerLossSite(
            standins, config.hosts(), config.engines(), config.services(), config.endpointsToo());
    site.start(config.folder(), config.options()).toCompletionStage().toCompletableFuture().join();
    Balancer balancer =
        loop.call(
            () -> new Balancer(loop.vertx(), site.readinessAddresses(), site.settings()::zone));
    List<BalancedCallers> callers = new ArrayList<>();
    for (int zone = 0; zone < PowerLossSite.ZONES; zone++) {
      callers.add(callers(zone, balancer));
    }
    loop.run(balancer::start);
    startInGroups();
    observe(config.startMs(), "first start", balancer);
    for (int zone = 0; zone < PowerLossSite.ZONES; zone++) {
      BalancedCallers ofZone = callers.get(zone);
      callerLoops.get(zone).run(() -> ofZone.start(config.gapMs() * PowerLossSite.ZONES));
    }
    observe(config.beforeMs(), "traffic", balancer);
    checker.recordLost(Soak.nowMs());
    site.hosts().forEach(HostProcess::killWithoutWaiting);
    Future<?> endpointsBack =
        config.endpointsToo() ? site.restartEndpoints(config.downMs()) : Future.succeededFuture();
    Thread.sleep(config.downMs());
    startAll();
    checker.recordReturned(Soak.nowMs());
    observe(config.recoveryMs(), "recovery", balancer);
    endpointsBack.toCompletionStage().toCompletableFuture().join();
    observe(config.judgedMs(), "judged", balancer);
    for (int zone = 0; zone < PowerLossSite.ZONES; zone++) {
      callerLoops.get(zone).run(callers.get(zone)::stop);
    }
    Thread.sleep(BalancedCallers.STREAM_DEADLINE_MS + POLL_MS);
    return new Result(checker.violations(), checker.summary(), checker.timeline(), processorTimes);
  }

  private BalancedCallers callers(int zone, Balancer balancer) throws InterruptedException {
    SoakLoop ownLoop = callerLoops.get(zone);
    Random random = new Random(~config.seed() + zone);
    return ownLoop.call(
        () ->
            new BalancedCallers(
                ownLoop.vertx(), site.callerAddresses(), balancer, zone, checker, random));
  }

  private void startInGroups() throws IOException, InterruptedException {
    for (int first = 0; first < config.hosts(); first += FIRST_START_GROUP) {
      int end = Math.min(config.hosts(), first + FIRST_START_GROUP);
      for (HostProcess host : site.hosts().subList(first, end)) {
        start(host);
      }
      Thread.sleep(POLL_MS);
    }
  }

  private void start(HostProcess host) throws IOException {
    host.start();
    if (closed) {
      host.terminate();
    }
  }

  private void startAll() throws IOException {
    for (HostProcess host : site.hosts()) {
      start(host);
    }
  }

  /**
   * Waits, and notes each second the processor time of all daemons, in all and by thread, and how
   * many are ready.
   */
  private void observe(long forMs, String phase, Balancer balancer) throws InterruptedException {
    long untilMs = Soak.nowMs() + forMs;
    while (Soak.nowMs() < untilMs) {
      Thread.sleep(Math.min(POLL_MS, Math.max(1, untilMs - Soak.nowMs())));
      long usedMs =
          site.hosts().stream()
              .map(HostProcess::processorTime)
              .flatMap(Optional::stream)
              .mapToLong(Duration::toMillis)
              .sum();
      int in = loop.call(balancer::hostsIn);
      processorTimes.add(
          String.format(
              "%s, %d ms left: %d ms of processor time in all, %d hosts in; threads since: %s",
              phase, untilMs - Soak.nowMs(), usedMs, in, threadTimes.sinceLastCall(hostIds())));
    }
  }

  private List<Long> hostIds() {
    return site.hosts().stream().map(HostProcess::id).toList();
  }
}
