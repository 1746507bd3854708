// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * A fault to inject.
 *
 * @param atMs the start, in milliseconds after the traffic starts
 * @param durationMs the duration, in milliseconds; unused for instant kinds
 * @param kind the kind of fault
 * @param target the index of the affected host or endpoint, modulo their number
 * @param mode the mode of the proxy; only for kinds with a proxy
 */
record Fault(long atMs, long durationMs, Kind kind, int target, FaultProxy.Mode mode) {
  /** Minimum duration of a fault, in milliseconds. */
  private static final int MIN_DURATION_MS = 200;

  /**
   * Random addition to the minimum duration, in milliseconds: the longest faults exceed the silence
   * after which a daemon is considered gone.
   */
  private static final int DURATION_SPREAD_MS = 4_000;

  /** Maximum time from one fault or series to the next, in milliseconds: many overlap. */
  private static final int MAX_GAP_MS = DURATION_SPREAD_MS / 2;

  /** One in this many times, a kind of fault is injected as a series. */
  private static final int SERIES_ODDS = 3;

  /** Maximum time between two faults of a series, in milliseconds: they overlap. */
  private static final int MAX_SERIES_GAP_MS = 400;

  /** Maximum number of engines that hang permanently, so that enough others remain. */
  static final int MAX_HUNG_ENGINES = 2;

  /** How often each kind that was added later is injected per seed, in the order of addition. */
  private static final Map<Kind, Integer> EXTRA_COUNTS = extraCounts();

  private static Map<Kind, Integer> extraCounts() {
    Map<Kind, Integer> extra = new LinkedHashMap<>();
    extra.put(Kind.ENGINE_DROPS_WORK, 2);
    extra.put(Kind.ENGINE_RESTARTS, 3);
    extra.put(Kind.ENTRY_OVERWRITTEN, 3);
    extra.put(Kind.CRASHING_REQUEST, 2);
    extra.put(Kind.DRAINING_NOTICE, 2);
    extra.put(Kind.BACKOFF_NOTICE, 2);
    extra.put(Kind.STORE_RESTORED, 2);
    extra.put(Kind.RATE_NAMED, 4);
    extra.put(Kind.ZONE_DRAINED, 3);
    extra.put(Kind.UNREAD_ANSWERS, 2);
    extra.put(Kind.ENGINES_WARM_UP, 1);
    extra.put(Kind.LINKS_LOST, 3);
    extra.put(Kind.CONFIGURE_OFTEN, 4);
    extra.put(Kind.ANSWERS_TWICE, 3);
    return extra;
  }

  /**
   * The kinds before drains of zones, callers that read nothing and engines that warm up were
   * added; see {@link #GENERATION_1}.
   */
  static final Set<Kind> GENERATION_5 = EnumSet.range(Kind.KILL, Kind.RATE_NAMED);

  /** The kinds before series of configurations were added; see {@link #GENERATION_1}. */
  static final Set<Kind> GENERATION_7 = EnumSet.range(Kind.KILL, Kind.LINKS_LOST);

  /** The kinds before second answers were added; see {@link #GENERATION_1}. */
  static final Set<Kind> GENERATION_8 = EnumSet.range(Kind.KILL, Kind.CONFIGURE_OFTEN);

  /** The kinds before losses of links were added; see {@link #GENERATION_1}. */
  static final Set<Kind> GENERATION_6 = EnumSet.range(Kind.KILL, Kind.ENGINES_WARM_UP);

  /** The kinds before endpoints' rates were added; see {@link #GENERATION_1}. */
  static final Set<Kind> GENERATION_4 = EnumSet.range(Kind.KILL, Kind.STORE_RESTORED);

  /** The kinds before notices in endpoints' answers were added; see {@link #GENERATION_1}. */
  static final Set<Kind> GENERATION_3 = EnumSet.range(Kind.KILL, Kind.CRASHING_REQUEST);

  /** The kinds before requests that crash engines were added; see {@link #GENERATION_1}. */
  static final Set<Kind> GENERATION_2 = EnumSet.range(Kind.KILL, Kind.ENTRY_OVERWRITTEN);

  /**
   * The kinds before restarts of engines were added. Seeds that found a defect keep the kinds that
   * they had, so that they still plan the same faults.
   */
  static final Set<Kind> GENERATION_1 = EnumSet.range(Kind.KILL, Kind.ENGINE_DROPS_WORK);

  /** The kinds up to second answers; see {@link #GENERATION_1}. */
  static final Set<Kind> GENERATION_9 = EnumSet.range(Kind.KILL, Kind.ANSWERS_TWICE);

  /** All kinds. */
  static final Set<Kind> ALL = EnumSet.allOf(Kind.class);

  /** The sets of kinds that seeds were first run with, oldest first. */
  static final List<Set<Kind>> GENERATIONS =
      List.of(
          GENERATION_1,
          GENERATION_2,
          GENERATION_3,
          GENERATION_4,
          GENERATION_5,
          GENERATION_6,
          GENERATION_7,
          GENERATION_8,
          ALL);

  /** Kinds of faults. The order is part of what a seed plans. */
  enum Kind {
    /** A host is killed and restarted. */
    KILL,
    /** A host is shut down and restarted. */
    STOP,
    /** A host's process is suspended. */
    PAUSE,
    /** A host receives the signal to reload its settings. */
    RELOAD,
    /** The store rejects all requests. */
    STORE_BUSY,
    /** The store doesn't answer. */
    STORE_UNRESPONSIVE,
    /** The store expires all its records. */
    STORE_EXPIRES_RECORDS,
    /** A host's connections to the store are impaired. */
    STORE_LINK,
    /** Connections to an endpoint are impaired. */
    ENDPOINT_LINK,
    /** An endpoint runs requests and closes the connection without an answer. */
    ANSWERS_LOST,
    /** An endpoint rejects requests without running them. */
    REJECTS,
    /** An endpoint's entry in the store says that it is draining, and later that it is ready. */
    DRAINS,
    /** A newer configuration with the same content is published. */
    CONFIGURE,
    /** A caller key is revoked. */
    REVOKE_KEY,
    /** An engine permanently stops answering; preferably one that prefills a long prompt. */
    ENGINE_HANGS,
    /**
     * An engine drops its open requests without an answer and continues to serve; preferably one
     * that prefills a long prompt.
     */
    ENGINE_DROPS_WORK,
    /**
     * An engine restarts under the same id without its previous state; preferably one that prefills
     * a long prompt.
     */
    ENGINE_RESTARTS,
    /** Another writer overwrites an engine's entry, until the engine writes it again. */
    ENTRY_OVERWRITTEN,
    /** A request that crashes each engine that runs it is sent repeatedly, to any host. */
    CRASHING_REQUEST,
    /** An endpoint signals only in its answers that it is shutting down, and then restarts. */
    DRAINING_NOTICE,
    /** An endpoint rejects requests and asks the hosts to back off. */
    BACKOFF_NOTICE,
    /** The store is unavailable for a time and then restored from an older copy. */
    STORE_RESTORED,
    /** An endpoint names in its answers how many requests a second it accepts from all hosts. */
    RATE_NAMED,
    /** Operators drain the zone of an endpoint and take it back some seconds later. */
    ZONE_DRAINED,
    /** Callers send requests to a host and read nothing of their answers. */
    UNREAD_ANSWERS,
    /** All engines accept only a rate for some seconds, as after a start. */
    ENGINES_WARM_UP,
    /** A host, or all hosts of a zone, lose their links to all endpoints for some seconds. */
    LINKS_LOST,
    /** Newer configurations are published in quick succession. */
    CONFIGURE_OFTEN,
    /** All endpoints begin a second answer before each next one, and fail some requests. */
    ANSWERS_TWICE;

    /** Whether the fault happens at one instant and has no end. */
    boolean isInstant() {
      return switch (this) {
        case KILL, STOP, STORE_EXPIRES_RECORDS, CONFIGURE, REVOKE_KEY -> true;
        case ENGINE_HANGS, ENGINE_DROPS_WORK, ENGINE_RESTARTS, CRASHING_REQUEST -> true;
        case UNREAD_ANSWERS, ENGINES_WARM_UP -> true;
        default -> false;
      };
    }
  }

  /** Returns the faults of a run; empty for one without faults. */
  static List<Fault> plan(Soak.Config config) {
    return config.kinds().isEmpty()
        ? List.of()
        : plan(new Random(config.seed()), config.lengthMs(), config.hosts(), config.kinds());
  }

  /**
   * Returns the faults of a seed, ordered by start: single faults and overlapping series.
   *
   * @param kinds one of {@link #GENERATIONS}
   */
  static List<Fault> plan(Random random, long lengthMs, int targets, Set<Kind> kinds) {
    List<Fault> plan = new ArrayList<>();
    long atMs = random.nextInt(MAX_GAP_MS);
    while (atMs < lengthMs) {
      // Kinds from ENGINE_HANGS on are added below, so that the other faults of a seed don't
      // change.
      Kind kind = Kind.values()[random.nextInt(Kind.ENGINE_HANGS.ordinal())];
      int series = random.nextInt(SERIES_ODDS) == 0 ? 1 + random.nextInt(targets) : 1;
      for (int i = 0; i < series; i++) {
        plan.add(fault(random, atMs + i * random.nextInt(MAX_SERIES_GAP_MS), kind, targets));
      }
      atMs += random.nextInt(MAX_GAP_MS);
    }
    add(plan, random, lengthMs, Kind.ENGINE_HANGS, 1 + random.nextInt(MAX_HUNG_ENGINES), targets);
    EXTRA_COUNTS.forEach(
        (kind, times) -> {
          if (kinds.contains(kind)) {
            add(plan, random, lengthMs, kind, times, targets);
          }
        });
    plan.sort(Comparator.comparingLong(Fault::atMs));
    return plan;
  }

  private static void add(
      List<Fault> plan, Random random, long lengthMs, Kind kind, int times, int targets) {
    for (int i = 0; i < times; i++) {
      plan.add(fault(random, random.nextInt((int) lengthMs), kind, targets));
    }
  }

  private static Fault fault(Random random, long atMs, Kind kind, int targets) {
    FaultProxy.Mode[] modes = FaultProxy.Mode.values();
    FaultProxy.Mode mode = modes[1 + random.nextInt(modes.length - 1)];
    long durationMs = MIN_DURATION_MS + random.nextInt(DURATION_SPREAD_MS);
    return new Fault(atMs, durationMs, kind, random.nextInt(targets), mode);
  }
}
