// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.fawndrum.state.HostIdentity;

/**
 * A simulated fleet in virtual time, with a crash registry for each host: requests that crash
 * engines, innocent requests beside them, and engines that crash for other causes. As with real
 * daemons, updates between hosts are delayed, are lost while a host is cut off, and are caught up
 * with by heartbeats.
 */
final class CrashFleet {
  static final int HOSTS = 8;
  static final int ENGINES = 18;
  private static final int SLOTS = 11;
  private static final long UPDATE_MS = 10;
  private static final int UPDATE_SPREAD_MS = 40;
  private static final long HEARTBEAT_MS = 1_000;
  static final long GONE_MS = 3_500;

  /** Minimum time from sending a request that crashes engines to the crash. */
  private static final long CRASH_DELAY_MS = 250;

  private static final int CRASH_DELAY_SPREAD_MS = 100;
  private static final long SHORTEST_RUN_MS = 40;
  private static final int RUN_SPREAD_MS = 3_000;

  /** An answer begins after this part of its run. */
  private static final int READ_DIVISOR = 4;

  /** Time within which the engines of a rack crash. */
  private static final int RACK_MS = 20;

  private static final int TRIES = 2;

  /** After how long a host gives up on an engine that does not answer, in milliseconds. */
  private static final long ANSWER_TIMEOUT_MS = 1_100;

  /** How long a caller waits for a request that may not run yet, in milliseconds. */
  private static final long MAX_WAIT_MS = 4_000;

  /** After how long without messages a host counts as silent, in milliseconds. */
  private static final long SILENT_MS = 2_000;

  /** How long after its last disturbance a host counts as connected, in milliseconds. */
  private static final long RECOVERY_MS = 3_000;

  final Random random;
  private final int hosts;
  private final long goneMs;
  private final CrashRegistry[] registries;
  private final boolean[] cut;
  private final boolean[] frozen;
  private final long[] disturbedMs;
  private final long[] listAgeMs;
  private final CrashEngine[] engines;
  private final PriorityQueue<FleetStep> steps = new PriorityQueue<>();
  private final Map<TestContent, List<Long>> crashesUnder = new HashMap<>();
  private final List<Arrival> deadlyArrivals = new ArrayList<>();
  private final List<Arrival> rejectedInnocents = new ArrayList<>();
  private long nowMs = 1;
  private long order;
  private int engineCrashes;
  private int updateSpreadMs = UPDATE_SPREAD_MS;
  private int messages;
  private int innocentsRejected;
  private int innocentsServed;
  private int innocentsDeferred;

  /** One copy of a request that crashes engines, sent to an engine. */
  record Arrival(TestContent request, long atMs, boolean connected) {}

  CrashFleet(long seed) {
    this(seed, HOSTS, ENGINES, GONE_MS);
  }

  /**
   * Creates a fleet.
   *
   * @param goneMs how long a crashed engine is down
   */
  CrashFleet(long seed, int hosts, int engineCount, long goneMs) {
    random = new Random(seed);
    this.hosts = hosts;
    this.goneMs = goneMs;
    registries = new CrashRegistry[hosts];
    cut = new boolean[hosts];
    frozen = new boolean[hosts];
    disturbedMs = new long[hosts];
    listAgeMs = new long[hosts];
    engines = new CrashEngine[engineCount];
    for (int i = 0; i < hosts; i++) {
      registries[i] = registry(i);
      disturbedMs[i] = -RECOVERY_MS;
      heartbeat(i);
    }
    for (int i = 0; i < engineCount; i++) {
      engines[i] = new CrashEngine();
    }
  }

  private CrashRegistry registry(int host) {
    return new CrashRegistry(new HostIdentity("host-" + host, nowMs));
  }

  void at(long atMs, Runnable action) {
    steps.add(new FleetStep(atMs, order++, action));
  }

  private void after(long ms, Runnable action) {
    at(nowMs + ms, action);
  }

  int anyHost() {
    return random.nextInt(hosts);
  }

  /** Advances the simulation to a time. */
  void runTo(long endMs) {
    while (!steps.isEmpty() && steps.peek().atMs() <= endMs) {
      FleetStep step = steps.poll();
      nowMs = step.atMs();
      step.action().run();
    }
  }

  private void heartbeat(int host) {
    after(
        1 + random.nextInt((int) HEARTBEAT_MS),
        () -> {
          int other = random.nextInt(hosts);
          if (!cut[host]
              && !cut[other]
              && registries[host].digest() != registries[other].digest()) {
            transmit(other, host, registries[other].fullUpdate());
            transmit(host, other, registries[host].fullUpdate());
          }
          heartbeat(host);
        });
  }

  private void broadcast(int from, CrashUpdate update) {
    boolean due = !update.isEmpty() && update.hops() <= CrashUpdate.MAX_HOPS;
    for (int to = 0; to < hosts && due; to++) {
      transmit(from, to, update);
    }
  }

  private void transmit(int from, int to, CrashUpdate update) {
    if (to != from && !cut[from] && !cut[to]) {
      long delayMs = UPDATE_MS + random.nextInt(updateSpreadMs);
      messages++;
      after(delayMs, () -> receive(to, update, delayMs));
    }
  }

  /**
   * If updates may be late, a host receives them with times shifted by the delay, and forwards what
   * is new to it.
   */
  private void receive(int host, CrashUpdate update, long delayMs) {
    if (cut[host]) {
      return;
    }
    if (updateSpreadMs == UPDATE_SPREAD_MS) {
      registries[host].merge(update, nowMs);
    } else {
      broadcast(host, registries[host].merge(DelayedUpdate.of(update, delayMs), nowMs));
    }
  }

  /** Cuts a host off from the others, or reconnects it. */
  void cut(int host, boolean on) {
    cut[host] = on;
    disturbedMs[host] = nowMs;
  }

  /** Delays a host's knowledge of new incarnations of engines by an age. */
  void delayList(int host, long ageMs) {
    listAgeMs[host] = ageMs;
  }

  /** Freezes a host, or lets it continue; messages to a frozen host are lost. */
  void freeze(int host, boolean on) {
    cut(host, on);
    frozen[host] = on;
  }

  /** Restarts a host with an empty registry. */
  void restart(int host) {
    registries[host] = registry(host);
    disturbedMs[host] = nowMs;
  }

  private boolean connected(int host) {
    return !cut[host] && nowMs - disturbedMs[host] > RECOVERY_MS;
  }

  /** Sends a request to a host. */
  void send(TestContent request, boolean deadly, int host) {
    send(new CrashRun(request, deadly, host, TRIES));
  }

  private void send(CrashRun run) {
    if (frozen[run.host()]) {
      return;
    }
    decide(run.host());
    CrashVerdict verdict = registries[run.host()].verdict(run.request(), nowMs);
    if (verdict == CrashVerdict.DELAYED) {
      after(10, () -> send(run));
    } else if (verdict == CrashVerdict.REJECTED) {
      boolean innocent = !run.deadly() && connected(run.host());
      innocentsRejected += innocent ? 1 : 0;
      if (innocent) {
        rejectedInnocents.add(new Arrival(run.request(), nowMs, true));
      }
    } else if (!registries[run.host()].needsLease(run.request())) {
      place(run);
    } else {
      acquireLease(run);
    }
  }

  private void acquireLease(CrashRun run) {
    CrashRegistry registry = registries[run.host()];
    if (registry.quarantinedUntilMs(run.request()) > nowMs + MAX_WAIT_MS) {
      innocentsDeferred += run.deadly() ? 0 : 1;
      return;
    }
    broadcast(run.host(), registry.requestLease(run.request(), nowMs));
    registry
        .acquireLease(run.request(), nowMs)
        .ifPresentOrElse(lease -> place(run.withLease(lease)), () -> after(10, () -> send(run)));
  }

  private void releaseLease(CrashRun run) {
    if (run.lease() != null) {
      registries[run.host()].releaseLease(run.lease());
    }
  }

  private void recordInconclusiveRun(CrashRun run) {
    if (run.lease() != null) {
      broadcast(run.host(), registries[run.host()].recordInconclusiveRun(run.lease()));
    }
  }

  private void decide(int host) {
    registries[host].allHostsReporting(!anyHostSilent());
    List<RejectedRequest> rejected = registries[host].decide(nowMs);
    if (!rejected.isEmpty()) {
      broadcast(host, CrashUpdate.ofRejected(rejected));
    }
  }

  private boolean anyHostSilent() {
    for (int i = 0; i < hosts; i++) {
      if (cut[i] && nowMs - disturbedMs[i] > SILENT_MS) {
        return true;
      }
    }
    return false;
  }

  private void place(CrashRun waiting) {
    CrashEngine chosen =
        free(candidate -> mayRunAt(waiting, candidate))
            .orElseGet(() -> free(candidate -> true).orElse(null));
    if (chosen == null) {
      releaseLease(waiting);
      return;
    }
    CrashEngine engine = chosen;
    long incarnation = engine.incarnation;
    long delayMs =
        waiting.deadly()
            ? CRASH_DELAY_MS + random.nextInt(CRASH_DELAY_SPREAD_MS)
            : SHORTEST_RUN_MS + random.nextInt(RUN_SPREAD_MS);
    long beginsMs = nowMs + (waiting.deadly() ? delayMs : delayMs / READ_DIVISOR);
    CrashRun run = waiting.withTarget(knownIncarnation(waiting.host(), engine), nowMs, beginsMs);
    engine.runs.add(run);
    if (run.deadly()) {
      deadlyArrivals.add(new Arrival(run.request(), nowMs, connected(run.host())));
      after(delayMs, () -> crashUnder(engine, incarnation, run));
    } else {
      after(delayMs, () -> answer(engine, incarnation, run));
      at(beginsMs + CrashRun.SOUND_AFTER_MS, () -> answering(engine, incarnation, run));
    }
  }

  private void answering(CrashEngine engine, long incarnation, CrashRun run) {
    boolean goesOn = engine.up && engine.incarnation == incarnation && engine.runs.contains(run);
    if (goesOn && nowMs >= engine.linkFaultUntilMs) {
      recordSoundParts(run);
    }
  }

  private void recordSoundParts(CrashRun run) {
    CrashRegistry registry = registries[run.host()];
    broadcast(run.host(), registry.recordSoundParts(run.request(), run.beganMs()));
  }

  private boolean mayRunAt(CrashRun run, CrashEngine engine) {
    CrashRegistry registry = registries[run.host()];
    return !registry.isIsolated(run.request())
        || registry.mayRunAt(run.request(), knownIncarnation(run.host(), engine));
  }

  /** Returns a random engine with a free slot that matches a predicate. */
  private Optional<CrashEngine> free(Predicate<CrashEngine> test) {
    List<CrashEngine> candidates =
        Stream.of(engines)
            .filter(
                candidate -> candidate.up && candidate.runs.size() < SLOTS && test.test(candidate))
            .toList();
    return candidates.isEmpty()
        ? Optional.empty()
        : Optional.of(candidates.get(random.nextInt(candidates.size())));
  }

  private void answer(CrashEngine engine, long incarnation, CrashRun run) {
    if (!engine.up || engine.incarnation != incarnation || !engine.runs.remove(run)) {
      return;
    }
    if (nowMs < engine.linkFaultUntilMs) {
      after(ANSWER_TIMEOUT_MS, () -> fail(run, false));
    } else {
      innocentsServed++;
      broadcast(run.host(), registries[run.host()].recordAnswer(run.request(), nowMs));
      recordSoundParts(run);
      releaseLease(run);
    }
  }

  /** Drops the answers of a random engine for a time; no host observes its crashes meanwhile. */
  void faultLink(long forMs) {
    engines[random.nextInt(engines.length)].linkFaultUntilMs = nowMs + forMs;
  }

  private void crashUnder(CrashEngine engine, long incarnation, CrashRun run) {
    if (engine.up && engine.incarnation == incarnation && engine.runs.contains(run)) {
      if (nowMs >= engine.linkFaultUntilMs) {
        crashesUnder.computeIfAbsent(run.request(), key -> new ArrayList<>()).add(nowMs);
      }
      crash(engine);
    }
  }

  /** Crashes random engines in one burst, for a cause other than their requests. */
  void crashTogether(int count) {
    for (int i = 0; i < count; i++) {
      CrashEngine engine = engines[random.nextInt(engines.length)];
      after(random.nextInt(RACK_MS), () -> crash(engine));
    }
  }

  private void crash(CrashEngine engine) {
    if (!engine.up) {
      return;
    }
    engine.up = false;
    engineCrashes++;
    List<CrashRun> lostRuns = List.copyOf(engine.runs);
    engine.runs.clear();
    boolean linkFaulty = nowMs < engine.linkFaultUntilMs;
    for (CrashRun run : lostRuns) {
      after(linkFaulty ? ANSWER_TIMEOUT_MS : 2 + random.nextInt(6), () -> fail(run, !linkFaulty));
    }
    after(
        goneMs,
        () -> {
          engine.incarnation++;
          engine.startedMs = nowMs;
          engine.up = true;
        });
  }

  /**
   * Returns an engine with the incarnation that a host knows: the previous one until its list is
   * updated.
   */
  private HostIdentity knownIncarnation(int host, CrashEngine engine) {
    boolean stale = engine.incarnation > 1 && nowMs - engine.startedMs < listAgeMs[host];
    String name = "engine-" + List.of(engines).indexOf(engine);
    return new HostIdentity(name, stale ? engine.incarnation - 1 : engine.incarnation);
  }

  /** Handles a failed run; its host may have observed the crash. */
  private void fail(CrashRun run, boolean observed) {
    CrashRegistry registry = registries[run.host()];
    if (observed) {
      broadcast(run.host(), registry.recordCrash(run.crash(nowMs), nowMs));
    }
    recordInconclusiveRun(run);
    if (run.triesLeft() > 1) {
      send(new CrashRun(run.request(), run.deadly(), run.host(), run.triesLeft() - 1));
    } else if (!run.deadly()) {
      // The caller repeats the request at any host.
      after(100, () -> send(run.request(), false, random.nextInt(hosts)));
    }
  }

  /** Sets by how much updates may be slower than the fastest ones. */
  void setUpdateSpread(int spreadMs) {
    updateSpreadMs = spreadMs;
  }

  /** Returns the number of messages between hosts. */
  int messages() {
    return messages;
  }

  int engineCrashes() {
    return engineCrashes;
  }

  /** Returns the number of innocent requests that connected hosts rejected. */
  int innocentsRejected() {
    return innocentsRejected;
  }

  /** Returns how often an innocent request was refused for now because of its quarantine. */
  int innocentsDeferred() {
    return innocentsDeferred;
  }

  int innocentsServed() {
    return innocentsServed;
  }

  /**
   * Returns how often connected hosts sent a request to an engine later than a grace period after
   * its third crash.
   */
  long arrivalsAfterThirdCrash(TestContent request, long graceMs) {
    List<Long> crashes = crashesUnder.getOrDefault(request, List.of());
    if (crashes.size() < CrashRules.MIN_CRASHES) {
      return 0;
    }
    long fromMs = crashes.get(CrashRules.MIN_CRASHES - 1) + graceMs;
    return deadlyArrivals.stream()
        .filter(
            arrival ->
                arrival.request().equals(request) && arrival.connected() && arrival.atMs() > fromMs)
        .count();
  }

  /** Returns when engines crashed under requests with a part, in order. */
  List<Long> crashesUnderPart(RequestFingerprint part) {
    return crashesUnder.entrySet().stream()
        .filter(entry -> entry.getKey().parts().contains(part))
        .flatMap(entry -> entry.getValue().stream())
        .sorted()
        .toList();
  }

  /** Returns how often connected hosts sent requests with a part to an engine after a time. */
  long arrivalsWithPart(RequestFingerprint part, long fromMs) {
    return deadlyArrivals.stream()
        .filter(arrival -> arrival.connected() && arrival.atMs() > fromMs)
        .filter(arrival -> arrival.request().parts().contains(part))
        .count();
  }

  /** Returns how many innocent requests with a part connected hosts rejected after a time. */
  long innocentsRejected(RequestFingerprint part, long fromMs) {
    return rejectedInnocents.stream()
        .filter(arrival -> arrival.atMs() > fromMs && arrival.request().parts().contains(part))
        .count();
  }

  /** Returns the number of observable crashes under a request. */
  int crashesUnder(TestContent request) {
    return crashesUnder.getOrDefault(request, List.of()).size();
  }
}
