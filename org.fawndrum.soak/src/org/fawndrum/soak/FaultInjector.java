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
 * Injects the faults of a plan when they are due: faults of processes on the calling thread, faults
 * of connections, the store and endpoints on the event loop. Confined to one thread.
 */
final class FaultInjector {
  /** Time for callers to connect to a host before it receives the stop signal, in milliseconds. */
  private static final long BEFORE_STOP_MS = 300;

  /** Faults during which a host receives no messages from other hosts. */
  private static final Set<Fault.Kind> SIGNALS =
      EnumSet.of(Fault.Kind.KILL, Fault.Kind.STOP, Fault.Kind.PAUSE);

  private final SoakSite site;
  private final PromiseChecker checker;
  private final Callers callers;
  private final UnreadCallers unreadCallers;
  private final SoakLoop loop;
  private final Map<HostProcess, Integer> activePauses = new HashMap<>();

  /** The start or the end of a fault, in milliseconds after the traffic starts. */
  private record Step(long atMs, Fault fault, boolean begins) {}

  FaultInjector(
      SoakSite site,
      PromiseChecker checker,
      Callers callers,
      UnreadCallers unreadCallers,
      SoakLoop loop) {
    this.site = site;
    this.checker = checker;
    this.callers = callers;
    this.unreadCallers = unreadCallers;
    this.loop = loop;
  }

  /** Injects the faults of a plan; returns after its last step. */
  void inject(List<Fault> plan) throws InterruptedException, IOException {
    long startMs = Soak.nowMs();
    for (Step step : steps(plan)) {
      long waitMs = startMs + step.atMs() - Soak.nowMs();
      if (waitMs > 0) {
        Thread.sleep(waitMs);
      }
      restartExited();
      apply(step.fault(), step.begins());
    }
  }

  private static List<Step> steps(List<Fault> plan) {
    List<Step> steps = new ArrayList<>();
    for (Fault fault : plan) {
      steps.add(new Step(fault.atMs(), fault, true));
      steps.add(new Step(fault.atMs() + fault.durationMs(), fault, false));
    }
    steps.sort(Comparator.comparingLong(Step::atMs));
    return steps;
  }

  /** Reports hosts that exited unexpectedly and restarts them, as the platform would. */
  private void restartExited() throws InterruptedException, IOException {
    for (HostProcess host : site.hosts()) {
      if (host.exitedUnexpectedly()) {
        String violation = host.name() + " exited unexpectedly with code " + host.exitCode();
        loop.run(() -> checker.recordViolation(violation));
        host.start();
      }
    }
  }

  private void apply(Fault fault, boolean begins) throws InterruptedException, IOException {
    if (!begins && fault.kind().isInstant()) {
      return;
    }
    HostProcess host = site.hosts().get(fault.target() % site.hosts().size());
    if (SIGNALS.contains(fault.kind())) {
      loop.run(() -> checker.recordSignal(host.name(), Soak.nowMs()));
    }
    switch (fault.kind()) {
      case KILL -> {
        endPause(host);
        host.kill();
        host.start();
        loop.run(() -> checker.recordSignal(host.name(), Soak.nowMs()));
      }
      case STOP -> {
        endPause(host);
        stop(host);
        host.start();
      }
      case PAUSE -> pause(host, begins);
      case RELOAD -> reload(host);
      case CRASHING_REQUEST -> loop.run(callers::sendCrashing);
      case UNREAD_ANSWERS -> {
        int index = site.hosts().indexOf(host);
        loop.run(() -> unreadCallers.start(index));
      }
      default -> loop.run(() -> site.apply(fault, begins));
    }
  }

  private void reload(HostProcess host) throws InterruptedException, IOException {
    if (host.hasLoggedStart()) {
      host.signal("HUP");
    }
  }

  private void endPause(HostProcess host) throws InterruptedException, IOException {
    activePauses.remove(host);
    host.signal("CONT");
  }

  private void stop(HostProcess host) throws InterruptedException, IOException {
    // These callers are connected before the signal and send until the host closes the connections.
    loop.run(() -> callers.startPersistentCallers(site.hosts().indexOf(host)));
    Thread.sleep(BEFORE_STOP_MS);
    loop.run(() -> checker.shutdowns().recordStopSignal(host.name(), Soak.nowMs()));
    if (!host.stop(SoakSite.GRACE_MS)) {
      loop.run(
          () -> checker.recordViolation(host.name() + " did not stop within its grace period"));
    }
    loop.run(
        () -> {
          checker.shutdowns().recordExit(Soak.nowMs());
          checker.recordSignal(host.name(), Soak.nowMs());
          callers.stopPersistentCallers();
        });
  }

  /** Starts or ends a pause. Pauses may overlap: a host resumes when the last of them ends. */
  private void pause(HostProcess host, boolean begins) throws InterruptedException, IOException {
    int remaining = activePauses.merge(host, begins ? 1 : -1, Integer::sum);
    if (remaining <= 0) {
      endPause(host);
    } else {
      host.signal("STOP");
    }
  }

  /** Ends every fault. */
  void endAll() throws InterruptedException, IOException {
    for (HostProcess host : site.hosts()) {
      host.signal("CONT");
    }
    loop.run(site::endFaults);
  }
}
