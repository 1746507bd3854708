// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The memory that engines set aside, by ticket, and the requests that used it: none may stay set
 * aside for long after the last of them is over. Times are those of the engines. Confined to one
 * event loop.
 */
final class MemoryLedger {
  /** For how long operators let memory be set aside that nobody uses, in milliseconds. */
  private static final long UNUSED_MS = 4_000;

  /** By how much the soak's own clock may be late on a busy machine, in milliseconds. */
  private static final long LATE_MS = 300;

  private final Map<String, List<Holding>> holdings = new LinkedHashMap<>();
  private final Map<String, List<EndpointRun>> uses = new LinkedHashMap<>();

  /** A span in which an engine holds memory without a break. */
  private static final class Holding {
    private final String engine;
    private final long fromMs;
    private long untilMs;

    private Holding(String engine, long fromMs, long untilMs) {
      this.engine = engine;
      this.fromMs = fromMs;
      this.untilMs = untilMs;
    }

    private void end(long nowMs) {
      untilMs = Math.min(untilMs, nowMs);
    }
  }

  /** Takes note that an engine sets memory aside, or prolongs that, from now on. */
  void reserved(String ticket, String engine, long holdMs, long nowMs) {
    List<Holding> all = holdings.computeIfAbsent(ticket, key -> new ArrayList<>());
    Holding last = all.isEmpty() ? null : all.get(all.size() - 1);
    if (last != null && last.untilMs >= nowMs) {
      last.untilMs = nowMs + holdMs;
    } else {
      all.add(new Holding(engine, nowMs, nowMs + holdMs));
    }
  }

  /** Takes note that memory was freed. */
  void released(String ticket, long nowMs) {
    holdings.getOrDefault(ticket, List.of()).forEach(holding -> holding.end(nowMs));
  }

  /** Takes note that an engine is gone, and its memory with it. */
  void gone(String engine, long nowMs) {
    holdings.values().stream()
        .flatMap(List::stream)
        .filter(holding -> holding.engine.equals(engine))
        .forEach(holding -> holding.end(nowMs));
  }

  /** Takes note that a request which arrived at its first engine uses memory elsewhere. */
  void used(String ticket, EndpointRun run) {
    uses.computeIfAbsent(ticket, key -> new ArrayList<>()).add(run);
  }

  /** Returns which memory stayed set aside for too long, up to now. */
  List<String> broken(long nowMs) {
    List<String> broken = new ArrayList<>();
    uses.forEach(
        (ticket, runs) -> {
          if (isJudged(runs)) {
            long overMs = runs.stream().mapToLong(EndpointRun::overMs).max().orElseThrow();
            for (Holding holding : holdings.getOrDefault(ticket, List.of())) {
              long unusedMs = Math.min(holding.untilMs, nowMs) - Math.max(holding.fromMs, overMs);
              if (unusedMs > UNUSED_MS + LATE_MS) {
                broken.add(
                    "memory "
                        + ticket
                        + " of "
                        + holding.engine
                        + " stayed set aside for "
                        + unusedMs
                        + " ms after its last use");
              }
            }
          }
        });
    return broken;
  }

  /** A request whose answer may be lost on its way is not over for its host. */
  private static boolean isJudged(List<EndpointRun> runs) {
    return runs.stream().noneMatch(run -> run.isOpen() || run.isHarmed());
  }

  /** Returns how much memory was set aside, and how much of it is judged. */
  String summary() {
    long judged = uses.values().stream().filter(MemoryLedger::isJudged).count();
    return holdings.size() + " tickets, " + judged + " judged";
  }
}
