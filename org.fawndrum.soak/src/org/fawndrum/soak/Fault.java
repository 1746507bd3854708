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
 * One fault.
 *
 * @param atMs when it begins, in milliseconds after the traffic
 * @param forMs how long it lasts, in milliseconds; says nothing for a momentary one
 * @param kind what happens
 * @param target counts the hosts or endpoints that it strikes
 * @param mode what a proxy does; only for kinds with a proxy
 */
record Fault(long atMs, long forMs, Kind kind, int target, FaultProxy.Mode mode) {
  /** The shortest fault, in milliseconds. */
  private static final int SHORTEST_MS = 200;

  /**
   * By how much a fault may outlast the shortest one, in milliseconds: the longest outlast the
   * silence after which a daemon counts as gone.
   */
  private static final int LONGER_MS = 4_000;

  /** The longest time from one fault or series to the next, in milliseconds: many overlap. */
  private static final int GAP_MS = LONGER_MS / 2;

  /** One time in so many, faults of a kind come in a series. */
  private static final int SERIES_PART = 3;

  /** The longest time between two faults of a series, in milliseconds: they overlap. */
  private static final int SERIES_GAP_MS = 400;

  /** How many engines at most fall silent for good: enough others are left. */
  static final int MOST_SILENT = 2;

  /** How often each kind comes in a seed that has come to the soak later, in that order. */
  private static final Map<Kind, Integer> EXTRA = extra();

  private static Map<Kind, Integer> extra() {
    Map<Kind, Integer> extra = new LinkedHashMap<>();
    extra.put(Kind.ENGINE_FORGETS, 2);
    extra.put(Kind.ENGINE_RESTARTS, 3);
    extra.put(Kind.ENTRY_SPOILED, 3);
    extra.put(Kind.DEADLY_REQUEST, 2);
    extra.put(Kind.SAYS_LEAVING, 2);
    extra.put(Kind.ASKS_FOR_REST, 2);
    extra.put(Kind.STORE_GOES_BACK, 2);
    return extra;
  }

  /** The kinds before endpoints could say anything in their answers, for the same reason. */
  static final Set<Kind> THIRD = EnumSet.range(Kind.KILL, Kind.DEADLY_REQUEST);

  /** The kinds before requests could end engines, for the same reason. */
  static final Set<Kind> SECOND = EnumSet.range(Kind.KILL, Kind.ENTRY_SPOILED);

  /** The kinds before engines could start again: seeds that showed a fault keep what they had. */
  static final Set<Kind> FIRST = EnumSet.range(Kind.KILL, Kind.ENGINE_FORGETS);

  /** All kinds. */
  static final Set<Kind> ALL = EnumSet.allOf(Kind.class);

  /** The sets of kinds that seeds were first played with, the oldest first. */
  static final List<Set<Kind>> GENERATIONS = List.of(FIRST, SECOND, THIRD, ALL);

  /** What happens. */
  enum Kind {
    /** A host is killed and started again. */
    KILL,
    /** A host is asked to stop and started again. */
    STOP,
    /** A host stands still. */
    PAUSE,
    /** A host is told to read its settings again. */
    RELOAD,
    /** The store answers all that nothing was done. */
    STORE_BUSY,
    /** The store answers nobody. */
    STORE_SILENT,
    /** The store forgets its history. */
    STORE_FORGETS,
    /** A host's connections to the store are harmed. */
    STORE_LINK,
    /** Connections to an endpoint are harmed. */
    ENDPOINT_LINK,
    /** An endpoint runs requests and loses the answers. */
    ANSWERS_LOST,
    /** An endpoint turns requests away without running them. */
    SHEDS,
    /** An endpoint says that it is leaving, and comes back. */
    LEAVES,
    /** A newer configuration, with the same meaning. */
    CONFIGURE,
    /** A key is taken away. */
    REVOKE,
    /**
     * An engine answers nothing any more, for good; one that reads a long prompt if there is one.
     */
    ENGINE_SILENT,
    /**
     * An engine drops what it works on without an answer and serves on; one that reads a long
     * prompt if there is one.
     */
    ENGINE_FORGETS,
    /**
     * An engine starts again under its id and knows nothing of before; one that reads a long prompt
     * if there is one.
     */
    ENGINE_RESTARTS,
    /** Somebody else writes over the entry of an engine, until the engine writes its own again. */
    ENTRY_SPOILED,
    /** A request comes again and again, at any host, that ends each engine that runs it. */
    DEADLY_REQUEST,
    /** An endpoint says in its answers, and nowhere else, that it leaves, and starts again. */
    SAYS_LEAVING,
    /** An endpoint turns requests away and asks their hosts for rest. */
    ASKS_FOR_REST,
    /** The store is away for a while and comes back from an older copy. */
    STORE_GOES_BACK;

    /** Tells whether it happens at one moment, and so has no end. */
    boolean momentary() {
      return switch (this) {
        case KILL, STOP, STORE_FORGETS, CONFIGURE, REVOKE -> true;
        case ENGINE_SILENT, ENGINE_FORGETS, ENGINE_RESTARTS, DEADLY_REQUEST -> true;
        default -> false;
      };
    }
  }

  /** Returns the faults of a play; none for a calm one. */
  static List<Fault> plan(Soak.Order order) {
    return order.kinds().isEmpty()
        ? List.of()
        : plan(new Random(order.seed()), order.lengthMs(), order.hosts(), order.kinds());
  }

  /**
   * Returns the faults of a seed, by time: single ones and series that overlap.
   *
   * @param kinds {@link #FIRST}, one of the sets after it or {@link #ALL}
   */
  static List<Fault> plan(Random random, long lengthMs, int targets, Set<Kind> kinds) {
    List<Fault> plan = new ArrayList<>();
    long atMs = random.nextInt(GAP_MS);
    while (atMs < lengthMs) {
      // Engines that go for good or forget come below, so that the other faults of a seed stay.
      Kind kind = Kind.values()[random.nextInt(Kind.ENGINE_SILENT.ordinal())];
      int series = random.nextInt(SERIES_PART) == 0 ? 1 + random.nextInt(targets) : 1;
      for (int i = 0; i < series; i++) {
        plan.add(fault(random, atMs + i * random.nextInt(SERIES_GAP_MS), kind, targets));
      }
      atMs += random.nextInt(GAP_MS);
    }
    add(plan, random, lengthMs, Kind.ENGINE_SILENT, 1 + random.nextInt(MOST_SILENT), targets);
    EXTRA.forEach(
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
    long forMs = SHORTEST_MS + random.nextInt(LONGER_MS);
    return new Fault(atMs, forMs, kind, random.nextInt(targets), mode);
  }
}
