// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Plays one seed: starts a site, lets faults come while callers send, ends all faults, and says
 * what was broken. The thread that calls it carries the faults out; all else is on one event loop.
 */
final class Soak {
  /** How long a step on the event loop may take, in seconds. */
  private static final long STEP_S = 20;

  /** How long hosts may take to serve after their start, and after all faults, in milliseconds. */
  private static final long RECOVERY_MS = 20_000;

  /** The time between two looks at whether all hosts serve, in milliseconds. */
  private static final long LOOK_MS = 250;

  /** The time for last answers after the last request, in milliseconds. */
  private static final long LAST_ANSWERS_MS = 5_000;

  private final long seed;
  private final int hosts;
  private final long lengthMs;
  private final boolean calm;
  private final Path folder;
  private final Vertx vertx =
      Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setPreferNativeTransport(true));
  private final Ledger ledger = new Ledger(SoakSite.REVOKE_MS);
  private final Map<HostProcess, Integer> pauses = new HashMap<>();
  private final List<Step> steps = new ArrayList<>();
  private SoakSite site;

  /**
   * What a seed showed.
   *
   * @param broken what was broken; empty when nothing was
   * @param summary the requests and how they ended
   */
  record Result(long seed, List<String> broken, String summary) {}

  /** Something that is due at a time. */
  private record Step(long atMs, Fault fault, boolean begins) {}

  Soak(long seed, int hosts, long lengthMs, boolean calm, Path folder) {
    this.seed = seed;
    this.hosts = hosts;
    this.lengthMs = lengthMs;
    this.calm = calm;
    this.folder = folder;
  }

  /** Returns the steady clock in milliseconds. */
  static long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  /** Plays the seed. */
  Result call() throws InterruptedException, IOException {
    try {
      site = onLoop(() -> new SoakSite(vertx, ledger, hosts, folder));
      await(onLoop(site::start));
      for (HostProcess host : site.hosts()) {
        host.start();
      }
      Random random = new Random(seed);
      Callers callers = onLoop(() -> new Callers(vertx, site.callers(), ledger, random));
      untilAllServe("after the start");
      onLoop(
          () -> {
            callers.start();
            return null;
          });
      if (calm) {
        Thread.sleep(lengthMs);
      } else {
        playFaults(Fault.plan(new Random(seed), lengthMs, hosts));
      }
      heal();
      untilAllServe("after all faults");
      onLoop(
          () -> {
            callers.stop();
            return null;
          });
      Thread.sleep(LAST_ANSWERS_MS);
      return onLoop(() -> new Result(seed, ledger.verdict(), ledger.summary()));
    } finally {
      for (HostProcess host : site == null ? List.<HostProcess>of() : site.hosts()) {
        host.kill();
      }
      vertx.close();
    }
  }

  private void playFaults(List<Fault> plan) throws InterruptedException, IOException {
    for (Fault fault : plan) {
      steps.add(new Step(fault.atMs(), fault, true));
      steps.add(new Step(fault.atMs() + fault.forMs(), fault, false));
    }
    steps.sort(Comparator.comparingLong(Step::atMs));
    long startMs = nowMs();
    for (Step step : steps) {
      long waitMs = startMs + step.atMs() - nowMs();
      if (waitMs > 0) {
        Thread.sleep(waitMs);
      }
      checkAlive();
      carryOut(step);
    }
  }

  private void checkAlive() {
    for (HostProcess host : site.hosts()) {
      if (host.endedByItself()) {
        throw new SoakFailedException(host.name() + " ended by itself", null);
      }
    }
  }

  private void carryOut(Step step) throws InterruptedException, IOException {
    HostProcess host = site.hosts().get(step.fault().target() % hosts);
    switch (step.fault().kind()) {
      case KILL -> restart(host, step.begins(), true);
      case STOP -> restart(host, step.begins(), false);
      case PAUSE -> pause(host, step.begins());
      case RELOAD -> host.signal("HUP");
      default ->
          onLoop(
              () -> {
                apply(step);
                return null;
              });
    }
  }

  /** Carries a step out on the event loop; what happens at one moment has no end. */
  private void apply(Step step) {
    boolean moment =
        switch (step.fault().kind()) {
          case STORE_FORGETS, CONFIGURE, REVOKE -> true;
          default -> false;
        };
    if (step.begins() || !moment) {
      site.apply(step.fault(), step.begins());
    }
  }

  private void restart(HostProcess host, boolean begins, boolean kill)
      throws InterruptedException, IOException {
    if (!begins) {
      return;
    }
    pauses.remove(host);
    host.signal("CONT");
    if (kill) {
      host.kill();
    } else if (!host.stop(SoakSite.GRACE_MS)) {
      onLoop(
          () -> {
            ledger.broken(host.name() + " did not stop within its grace period");
            return null;
          });
    }
    host.start();
  }

  /** Pauses may overlap: a host goes on when the last of them ends. */
  private void pause(HostProcess host, boolean begins) throws InterruptedException, IOException {
    int left = pauses.merge(host, begins ? 1 : -1, Integer::sum);
    if (left <= 0) {
      pauses.remove(host);
      host.signal("CONT");
    } else {
      host.signal("STOP");
    }
  }

  private void heal() throws InterruptedException, IOException {
    for (HostProcess host : site.hosts()) {
      host.signal("CONT");
    }
    onLoop(
        () -> {
          site.heal();
          return null;
        });
  }

  /** Waits until each host has served a request that was sent from now on. */
  private void untilAllServe(String when) throws InterruptedException {
    long untilMs = nowMs() + RECOVERY_MS;
    for (int i = 0; i < hosts; i++) {
      int host = i;
      boolean served = false;
      while (!served) {
        served = await(onLoop(() -> Probe.call(vertx, site.callers().get(host))));
        if (!served && nowMs() > untilMs) {
          onLoop(
              () -> {
                ledger.broken("host-" + host + " does not serve " + when);
                return null;
              });
          return;
        }
        if (!served) {
          Thread.sleep(LOOK_MS);
        }
      }
    }
  }

  private <T> T onLoop(Callable<T> action) throws InterruptedException {
    return await(
        Future.future(
            promise ->
                vertx.runOnContext(
                    v -> {
                      try {
                        promise.complete(action.call());
                      } catch (Exception e) {
                        promise.fail(e);
                      }
                    })));
  }

  private static <T> T await(Future<T> future) throws InterruptedException {
    try {
      return future.toCompletionStage().toCompletableFuture().get(STEP_S, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new SoakFailedException("a step on the event loop", e);
    }
  }
}
