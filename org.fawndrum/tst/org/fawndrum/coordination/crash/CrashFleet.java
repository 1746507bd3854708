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
 * Hosts with a ledger each before engines, in virtual time: requests that end engines, innocents
 * beside them, and engines that end for causes of their own. News between hosts take a while, get
 * lost while a host is cut off, and are made up for with heartbeats, as daemons do.
 */
final class CrashFleet {
  static final int HOSTS = 8;
  static final int ENGINES = 18;
  private static final int SLOTS = 11;
  private static final long NEWS_MS = 10;
  private static final int NEWS_SPREAD_MS = 40;
  private static final long HEARTBEAT_MS = 1_000;
  static final long GONE_MS = 3_500;

  /** From the sending of a request that ends engines to the end of one. */
  private static final long DEADLY_MS = 250;

  private static final int DEADLY_SPREAD_MS = 100;
  private static final long SHORTEST_RUN_MS = 40;
  private static final int RUN_SPREAD_MS = 3_000;

  /** The time in which a rack's engines end. */
  private static final int RACK_MS = 20;

  private static final int TRIES = 2;

  /** After how long a host gives up on an engine that is not heard, in milliseconds. */
  private static final long UNANSWERED_MS = 1_100;

  /** How long a caller waits for a request that may not run yet, in milliseconds. */
  private static final long LONGEST_WAIT_MS = 4_000;

  /** After how long hosts notice that they do not hear each other, in milliseconds. */
  private static final long SILENT_MS = 2_000;

  /** How long a host is without trouble before it counts as in touch, in milliseconds. */
  private static final long CONTACT_MS = 3_000;

  final Random random;
  private final int hosts;
  private final long goneMs;
  private final CrashLedger[] ledgers;
  private final boolean[] cut;
  private final boolean[] still;
  private final long[] troubledMs;
  private final long[] listAgeMs;
  private final CrashEngine[] engines;
  private final PriorityQueue<FleetStep> steps = new PriorityQueue<>();
  private final Map<TestContent, List<Long>> crashesUnder = new HashMap<>();
  private final List<Arrival> deadlyArrivals = new ArrayList<>();
  private long nowMs = 1;
  private long order;
  private int engineCrashes;
  private int newsSpreadMs = NEWS_SPREAD_MS;
  private int messages;
  private int innocentsRefused;
  private int innocentsServed;
  private int innocentsAskedBack;

  /** One sending of a request that ends engines, at an engine. */
  record Arrival(TestContent request, long atMs, boolean inTouch) {}

  CrashFleet(long seed) {
    this(seed, HOSTS, ENGINES, GONE_MS);
  }

  /**
   * Makes a fleet.
   *
   * @param goneMs for how long an engine that ended is gone
   */
  CrashFleet(long seed, int hosts, int engineCount, long goneMs) {
    random = new Random(seed);
    this.hosts = hosts;
    this.goneMs = goneMs;
    ledgers = new CrashLedger[hosts];
    cut = new boolean[hosts];
    still = new boolean[hosts];
    troubledMs = new long[hosts];
    listAgeMs = new long[hosts];
    engines = new CrashEngine[engineCount];
    for (int i = 0; i < hosts; i++) {
      ledgers[i] = ledger(i);
      troubledMs[i] = -CONTACT_MS;
      heartbeat(i);
    }
    for (int i = 0; i < engineCount; i++) {
      engines[i] = new CrashEngine();
    }
  }

  private CrashLedger ledger(int host) {
    return new CrashLedger(new HostIdentity("host-" + host, nowMs));
  }

  void at(long atMs, Runnable what) {
    steps.add(new FleetStep(atMs, order++, what));
  }

  private void after(long ms, Runnable what) {
    at(nowMs + ms, what);
  }

  int anyHost() {
    return random.nextInt(hosts);
  }

  /** Lets time pass up to a moment. */
  void runTo(long endMs) {
    while (!steps.isEmpty() && steps.peek().atMs() <= endMs) {
      FleetStep step = steps.poll();
      nowMs = step.atMs();
      step.what().run();
    }
  }

  private void heartbeat(int host) {
    after(
        1 + random.nextInt((int) HEARTBEAT_MS),
        () -> {
          int other = random.nextInt(hosts);
          if (!cut[host] && !cut[other] && ledgers[host].summary() != ledgers[other].summary()) {
            tellOne(other, host, ledgers[other].all());
            tellOne(host, other, ledgers[host].all());
          }
          heartbeat(host);
        });
  }

  private void tell(int from, CrashNews news) {
    boolean told = !news.isEmpty() && news.hops() <= CrashNews.MOST_HOPS;
    for (int to = 0; to < hosts && told; to++) {
      tellOne(from, to, news);
    }
  }

  private void tellOne(int from, int to, CrashNews news) {
    if (to != from && !cut[from] && !cut[to]) {
      long lateMs = NEWS_MS + random.nextInt(newsSpreadMs);
      messages++;
      after(lateMs, () -> heard(to, news, lateMs));
    }
  }

  /**
   * Where news may be late, a host takes their times for later ones, and tells on what it learns.
   */
  private void heard(int host, CrashNews news, long lateMs) {
    if (cut[host]) {
      return;
    }
    if (newsSpreadMs == NEWS_SPREAD_MS) {
      ledgers[host].heard(news, nowMs);
    } else {
      tell(host, ledgers[host].heard(LateNews.of(news, lateMs), nowMs));
    }
  }

  /** Cuts a host off from the others, or lets it hear them again. */
  void cut(int host, boolean off) {
    cut[host] = off;
    troubledMs[host] = nowMs;
  }

  /** Lets a host learn of starts of engines so much later than they begin. */
  void readsListLate(int host, long ageMs) {
    listAgeMs[host] = ageMs;
  }

  /** Lets a host stand still, or go on; what comes to it meanwhile is lost. */
  void standStill(int host, boolean stands) {
    cut(host, stands);
    still[host] = stands;
  }

  /** Starts a host again: it knows nothing. */
  void restart(int host) {
    ledgers[host] = ledger(host);
    troubledMs[host] = nowMs;
  }

  private boolean inTouch(int host) {
    return !cut[host] && nowMs - troubledMs[host] > CONTACT_MS;
  }

  /** Lets a request come to a host. */
  void send(TestContent request, boolean deadly, int host) {
    send(new CrashRun(request, deadly, host, TRIES));
  }

  private void send(CrashRun run) {
    if (still[run.host()]) {
      return;
    }
    decide(run.host());
    CrashVerdict verdict = ledgers[run.host()].verdict(run.request(), nowMs);
    if (verdict == CrashVerdict.HELD) {
      after(10, () -> send(run));
    } else if (verdict == CrashVerdict.REFUSED) {
      boolean innocent = !run.deadly() && inTouch(run.host());
      innocentsRefused += innocent ? 1 : 0;
    } else if (!ledgers[run.host()].needsTurn(run.request())) {
      place(run);
    } else {
      takeTurn(run);
    }
  }

  private void takeTurn(CrashRun run) {
    CrashLedger ledger = ledgers[run.host()];
    if (ledger.quarantinedUntilMs(run.request()) > nowMs + LONGEST_WAIT_MS) {
      innocentsAskedBack += run.deadly() ? 0 : 1;
      return;
    }
    tell(run.host(), ledger.askTurn(run.request(), nowMs));
    ledger
        .beginTurn(run.request(), nowMs)
        .ifPresentOrElse(turn -> place(run.with(turn)), () -> after(10, () -> send(run)));
  }

  private void endTurn(CrashRun run) {
    if (run.turn() != null) {
      ledgers[run.host()].endTurn(run.turn());
    }
  }

  private void spendTurn(CrashRun run) {
    if (run.turn() != null) {
      tell(run.host(), ledgers[run.host()].spendTurn(run.turn()));
    }
  }

  private void decide(int host) {
    ledgers[host].hearsAll(!someAreSilent());
    List<RefusedRequest> refused = ledgers[host].decide(nowMs);
    if (!refused.isEmpty()) {
      tell(host, CrashNews.ofRefused(refused));
    }
  }

  private boolean someAreSilent() {
    for (int i = 0; i < hosts; i++) {
      if (cut[i] && nowMs - troubledMs[i] > SILENT_MS) {
        return true;
      }
    }
    return false;
  }

  private void place(CrashRun waiting) {
    CrashEngine engine =
        free(one -> mayRunAt(waiting, one)).orElseGet(() -> free(one -> true).orElse(null));
    if (engine == null) {
      endTurn(waiting);
      return;
    }
    CrashEngine at = engine;
    long start = at.start;
    CrashRun run = waiting.sent(believed(waiting.host(), at), nowMs);
    at.runs.add(run);
    if (run.deadly()) {
      deadlyArrivals.add(new Arrival(run.request(), nowMs, inTouch(run.host())));
      after(DEADLY_MS + random.nextInt(DEADLY_SPREAD_MS), () -> endUnder(at, start, run));
    } else {
      long runMs = SHORTEST_RUN_MS + random.nextInt(RUN_SPREAD_MS);
      after(runMs, () -> answer(at, start, run));
    }
  }

  private boolean mayRunAt(CrashRun run, CrashEngine engine) {
    CrashLedger ledger = ledgers[run.host()];
    return !ledger.isIsolated(run.request())
        || ledger.mayRunAt(run.request(), believed(run.host(), engine));
  }

  /** Returns one of the engines that have room and pass a test. */
  private Optional<CrashEngine> free(Predicate<CrashEngine> test) {
    List<CrashEngine> some =
        Stream.of(engines)
            .filter(one -> one.up && one.runs.size() < SLOTS && test.test(one))
            .toList();
    return some.isEmpty() ? Optional.empty() : Optional.of(some.get(random.nextInt(some.size())));
  }

  private void answer(CrashEngine at, long start, CrashRun run) {
    if (!at.up || at.start != start || !at.runs.remove(run)) {
      return;
    }
    if (nowMs < at.harmedUntilMs) {
      after(UNANSWERED_MS, () -> lost(run, false));
    } else {
      innocentsServed++;
      tell(run.host(), ledgers[run.host()].served(run.request(), nowMs));
      endTurn(run);
    }
  }

  /** Has the answers of some engine lost for a time, and its ends seen by nobody. */
  void harm(long forMs) {
    engines[random.nextInt(engines.length)].harmedUntilMs = nowMs + forMs;
  }

  private void endUnder(CrashEngine at, long start, CrashRun run) {
    if (at.up && at.start == start && at.runs.contains(run)) {
      if (nowMs >= at.harmedUntilMs) {
        crashesUnder.computeIfAbsent(run.request(), key -> new ArrayList<>()).add(nowMs);
      }
      crash(at);
    }
  }

  /** Ends some engines at about the same moment, for a cause of their own. */
  void endTogether(int count) {
    for (int i = 0; i < count; i++) {
      CrashEngine engine = engines[random.nextInt(engines.length)];
      after(random.nextInt(RACK_MS), () -> crash(engine));
    }
  }

  private void crash(CrashEngine at) {
    if (!at.up) {
      return;
    }
    at.up = false;
    engineCrashes++;
    List<CrashRun> lost = List.copyOf(at.runs);
    at.runs.clear();
    boolean harmed = nowMs < at.harmedUntilMs;
    for (CrashRun run : lost) {
      after(harmed ? UNANSWERED_MS : 2 + random.nextInt(6), () -> lost(run, !harmed));
    }
    after(
        goneMs,
        () -> {
          at.start++;
          at.bornMs = nowMs;
          at.up = true;
        });
  }

  /** Returns an engine with the start that a host knows: the one before, until it reads anew. */
  private HostIdentity believed(int host, CrashEngine engine) {
    boolean stale = engine.start > 1 && nowMs - engine.bornMs < listAgeMs[host];
    String name = "engine-" + List.of(engines).indexOf(engine);
    return new HostIdentity(name, stale ? engine.start - 1 : engine.start);
  }

  /** A run came to nothing; its host may have seen the engine end. */
  private void lost(CrashRun run, boolean seen) {
    CrashLedger ledger = ledgers[run.host()];
    if (seen) {
      tell(run.host(), ledger.crashed(run.sentTo(), run.request().print(), run.takenMs(), nowMs));
    }
    spendTurn(run);
    if (run.triesLeft() > 1) {
      send(new CrashRun(run.request(), run.deadly(), run.host(), run.triesLeft() - 1));
    } else if (!run.deadly()) {
      // Its caller comes again, at any host.
      after(100, () -> send(run.request(), false, random.nextInt(hosts)));
    }
  }

  /** Lets news take up to so much longer than the fastest ones. */
  void newsTake(int spreadMs) {
    newsSpreadMs = spreadMs;
  }

  /** Returns how many messages the hosts sent each other. */
  int messages() {
    return messages;
  }

  int engineCrashes() {
    return engineCrashes;
  }

  /** Returns how many innocents were turned away by hosts that hear the others. */
  int innocentsRefused() {
    return innocentsRefused;
  }

  /** Returns how often an innocent was asked back, because it may not run for a while. */
  int innocentsAskedBack() {
    return innocentsAskedBack;
  }

  int innocentsServed() {
    return innocentsServed;
  }

  /** Returns how often a request reached an engine from hosts in touch after a time. */
  long arrivalsAfterThirdCrash(TestContent request, long graceMs) {
    List<Long> crashes = crashesUnder.getOrDefault(request, List.of());
    if (crashes.size() < CrashRules.ENOUGH) {
      return 0;
    }
    long fromMs = crashes.get(CrashRules.ENOUGH - 1) + graceMs;
    return deadlyArrivals.stream()
        .filter(one -> one.request().equals(request) && one.inTouch() && one.atMs() > fromMs)
        .count();
  }

  /** Returns how many engines that a host could see ended under a request. */
  int crashesUnder(TestContent request) {
    return crashesUnder.getOrDefault(request, List.of()).size();
  }
}
