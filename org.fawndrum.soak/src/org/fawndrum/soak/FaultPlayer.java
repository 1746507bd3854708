// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Carries faults out when they are due: those of processes on the thread that calls it, those of
 * connections, store and endpoints on the event loop. Confined to one thread.
 */
final class FaultPlayer {
  /** The time for callers to reach a host before it is told to stop, in milliseconds. */
  private static final long BEFORE_STOP_MS = 300;

  /** What keeps a host from hearing the others. */
  private static final Set<Fault.Kind> SIGNALS =
      EnumSet.of(Fault.Kind.KILL, Fault.Kind.STOP, Fault.Kind.PAUSE);

  private final SoakSite site;
  private final Ledger ledger;
  private final Callers callers;
  private final SoakLoop loop;
  private final Map<HostProcess, Integer> pauses = new HashMap<>();

  /** The beginning or the end of a fault, in milliseconds after the traffic. */
  private record Step(long atMs, Fault fault, boolean begins) {}

  FaultPlayer(SoakSite site, Ledger ledger, Callers callers, SoakLoop loop) {
    this.site = site;
    this.ledger = ledger;
    this.callers = callers;
    this.loop = loop;
  }

  /** Carries a plan out; returns after its last step. */
  void play(List<Fault> plan) throws InterruptedException, IOException {
    long startMs = Soak.nowMs();
    for (Step step : steps(plan)) {
      long waitMs = startMs + step.atMs() - Soak.nowMs();
      if (waitMs > 0) {
        Thread.sleep(waitMs);
      }
      checkAlive();
      carryOut(step.fault(), step.begins());
    }
  }

  private static List<Step> steps(List<Fault> plan) {
    List<Step> steps = new ArrayList<>();
    for (Fault fault : plan) {
      steps.add(new Step(fault.atMs(), fault, true));
      steps.add(new Step(fault.atMs() + fault.forMs(), fault, false));
    }
    steps.sort(Comparator.comparingLong(Step::atMs));
    return steps;
  }

  /** Writes down who ended by itself, and starts it again as the platform would. */
  private void checkAlive() throws InterruptedException, IOException {
    for (HostProcess host : site.hosts()) {
      if (host.endedByItself()) {
        String what = host.name() + " ended by itself with code " + host.exitCode();
        loop.run(() -> ledger.broken(what));
        host.start();
      }
    }
  }

  private void carryOut(Fault fault, boolean begins) throws InterruptedException, IOException {
    if (!begins && fault.kind().momentary()) {
      return;
    }
    HostProcess host = site.hosts().get(fault.target() % site.hosts().size());
    if (SIGNALS.contains(fault.kind())) {
      loop.run(() -> ledger.troubled(host.name(), Soak.nowMs()));
    }
    switch (fault.kind()) {
      case KILL -> {
        endPause(host);
        host.kill();
        host.start();
        loop.run(() -> ledger.troubled(host.name(), Soak.nowMs()));
      }
      case STOP -> {
        endPause(host);
        stop(host);
        host.start();
      }
      case PAUSE -> pause(host, begins);
      case RELOAD -> reload(host);
      case DEADLY_REQUEST -> loop.run(callers::sendDeadly);
      default -> loop.run(() -> site.apply(fault, begins));
    }
  }

  private void reload(HostProcess host) throws InterruptedException, IOException {
    if (host.begun()) {
      host.signal("HUP");
    }
  }

  private void endPause(HostProcess host) throws InterruptedException, IOException {
    pauses.remove(host);
    host.signal("CONT");
  }

  private void stop(HostProcess host) throws InterruptedException, IOException {
    // They are there when the order comes, and use their connections while the host lets them.
    loop.run(() -> callers.stay(site.hosts().indexOf(host)));
    Thread.sleep(BEFORE_STOP_MS);
    loop.run(() -> ledger.stops().ordered(host.name(), Soak.nowMs()));
    if (!host.stop(SoakSite.GRACE_MS)) {
      loop.run(() -> ledger.broken(host.name() + " did not stop within its grace period"));
    }
    loop.run(
        () -> {
          ledger.stops().ended(Soak.nowMs());
          ledger.troubled(host.name(), Soak.nowMs());
          callers.leave();
        });
  }

  /** Pauses may overlap: a host goes on when the last of them ends. */
  private void pause(HostProcess host, boolean begins) throws InterruptedException, IOException {
    int left = pauses.merge(host, begins ? 1 : -1, Integer::sum);
    if (left <= 0) {
      endPause(host);
    } else {
      host.signal("STOP");
    }
  }

  /** Ends every fault. */
  void heal() throws InterruptedException, IOException {
    for (HostProcess host : site.hosts()) {
      host.signal("CONT");
    }
    loop.run(site::heal);
  }
}
