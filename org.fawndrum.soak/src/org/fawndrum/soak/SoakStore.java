// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import io.vertx.core.Vertx;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.fawndrum.platform.standin.StoreStandin;

/**
 * The faults of the store and of its connections, and the operators' drains of zones in it. Tells
 * the checker which drains hosts can know. Confined to one event loop.
 */
final class SoakStore {
  /** Additional duration of a drain, in milliseconds: it must outlast the time to apply it. */
  private static final long EXTRA_DRAIN_MS = DrainChecker.APPLY_MS + 2_000;

  /** Interval between copies of the store, in milliseconds. */
  private static final long COPY_MS = 500;

  /** Number of copies of the store that are kept. */
  private static final int COPIES = 6;

  private static final String OPERATORS = "keyed.op";

  private final Vertx vertx;
  private final StoreStandin store;
  private final List<FaultProxy> links;
  private final DrainChecker checker;
  private final ConfigurationChecker configurations;
  private final Set<Integer> impairedLinks = new HashSet<>();
  private final Set<String> drained = new TreeSet<>();
  private final Deque<StoreStandin.Copy> copies = new ArrayDeque<>();
  private StoreStandin.Mode mode = StoreStandin.Mode.SERVING;

  /**
   * Creates a store without faults.
   *
   * @param links the connection of each host to it
   */
  SoakStore(Vertx vertx, StoreStandin store, List<FaultProxy> links, PromiseChecker checker) {
    this.vertx = vertx;
    this.store = store;
    this.links = links;
    this.checker = checker.drains();
    this.configurations = checker.configurations();
  }

  /** Sets the behaviour of the store. */
  void mode(StoreStandin.Mode newMode) {
    mode = newMode;
    store.mode(newMode);
    configurations.recordStoreDown(newMode != StoreStandin.Mode.SERVING, Soak.nowMs());
    recordReachable();
  }

  /** Sets the behaviour of a host's connections to the store. */
  void linkMode(int host, FaultProxy.Mode newMode) {
    int link = host % links.size();
    links.get(link).mode(newMode);
    if (newMode == FaultProxy.Mode.PASS) {
      impairedLinks.remove(link);
    } else {
      impairedLinks.add(link);
    }
    configurations.recordImpaired(
        HostSettings.name(link), newMode != FaultProxy.Mode.PASS, Soak.nowMs());
    recordReachable();
  }

  private void recordReachable() {
    boolean reachable = mode == StoreStandin.Mode.SERVING && impairedLinks.size() < links.size();
    checker.recordStoreDown(!reachable, Soak.nowMs());
  }

  /** Drains a zone, or takes it back when the drain has lasted long enough to be checked. */
  void drain(String zone, boolean begins) {
    if (begins) {
      drained.add(zone);
      writeDrain(zone);
    } else {
      vertx.setTimer(EXTRA_DRAIN_MS, timer -> takeBack(zone));
    }
  }

  private void writeDrain(String zone) {
    store.put(OPERATORS, key(zone), "{}");
    checker.recordDrained(zone, Soak.nowMs());
  }

  private void takeBack(String zone) {
    if (drained.remove(zone)) {
      store.put(OPERATORS, key(zone), "");
      checker.recordTakenBack(zone);
    }
  }

  private static String key(String zone) {
    return "evacuate/" + zone;
  }

  /** Starts to keep copies of the store. */
  void keepCopies() {
    keepCopy();
    vertx.setPeriodic(COPY_MS, timer -> keepCopy());
  }

  private void keepCopy() {
    copies.add(store.copy());
    if (copies.size() > COPIES) {
      copies.removeFirst();
    }
  }

  /** Restores the oldest copy; the operators write what is drained again at once. */
  void restoreOldestCopy() {
    store.restoreFrom(copies.getFirst());
    copies.clear();
    copies.add(store.copy());
    drained.forEach(checker::recordTakenBack);
    drained.forEach(this::writeDrain);
  }

  /** Ends all faults and takes all zones back. */
  void endFaults() {
    mode(StoreStandin.Mode.SERVING);
    for (int host = 0; host < links.size(); host++) {
      linkMode(host, FaultProxy.Mode.PASS);
    }
    Set.copyOf(drained).forEach(this::takeBack);
  }
}
