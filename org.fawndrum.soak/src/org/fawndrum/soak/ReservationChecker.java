// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks memory reservations, by ticket: an engine's memory must not stay reserved for long after
 * the last request that uses it has completed. Times are those at which the engines reserved and
 * released. Confined to one event loop.
 */
final class ReservationChecker {
  /** Maximum time that operators accept for an unused reservation, in milliseconds. */
  private static final long MAX_UNUSED_MS = 4_000;

  /** Maximum delay of the soak's own timestamps on a busy machine, in milliseconds. */
  private static final long CLOCK_DELAY_MS = 300;

  private final Map<String, List<Reservation>> reservations = new LinkedHashMap<>();
  private final Map<String, List<EndpointRun>> usesByTicket = new LinkedHashMap<>();

  /** A time span during which an engine's memory is reserved without interruption. */
  private static final class Reservation {
    private final String engine;
    private final long fromMs;
    private long untilMs;

    private Reservation(String engine, long fromMs, long untilMs) {
      this.engine = engine;
      this.fromMs = fromMs;
      this.untilMs = untilMs;
    }

    private void endAt(long nowMs) {
      untilMs = Math.min(untilMs, nowMs);
    }
  }

  /** Records that an engine reserves memory, or renews the reservation, from now on. */
  void recordReserved(String ticket, String engine, long holdMs, long nowMs) {
    List<Reservation> spans = reservations.computeIfAbsent(ticket, key -> new ArrayList<>());
    Reservation lastSpan = spans.isEmpty() ? null : spans.get(spans.size() - 1);
    if (lastSpan != null && lastSpan.untilMs >= nowMs) {
      lastSpan.untilMs = nowMs + holdMs;
    } else {
      spans.add(new Reservation(engine, nowMs, nowMs + holdMs));
    }
  }

  /** Records that memory was released. */
  void recordReleased(String ticket, long nowMs) {
    reservations.getOrDefault(ticket, List.of()).forEach(reservation -> reservation.endAt(nowMs));
  }

  /** Records that an engine terminated, which releases its memory. */
  void recordEngineEnd(String engine, long nowMs) {
    reservations.values().stream()
        .flatMap(List::stream)
        .filter(reservation -> reservation.engine.equals(engine))
        .forEach(reservation -> reservation.endAt(nowMs));
  }

  /** Records that a request which arrived at its main engine uses memory of a helper engine. */
  void recordUse(String ticket, EndpointRun run) {
    usesByTicket.computeIfAbsent(ticket, key -> new ArrayList<>()).add(run);
  }

  /** Returns one message for each ticket that stayed reserved for too long up to now. */
  List<String> violations(long nowMs) {
    List<String> violations = new ArrayList<>();
    usesByTicket.forEach(
        (ticket, runs) -> {
          if (isChecked(runs)) {
            long lastUseEndMs = runs.stream().mapToLong(EndpointRun::endMs).max().orElseThrow();
            for (Reservation reservation : reservations.getOrDefault(ticket, List.of())) {
              long unusedMs =
                  Math.min(reservation.untilMs, nowMs) - Math.max(reservation.fromMs, lastUseEndMs);
              if (unusedMs > MAX_UNUSED_MS + CLOCK_DELAY_MS) {
                violations.add(
                    "memory "
                        + ticket
                        + " of "
                        + reservation.engine
                        + " stayed reserved for "
                        + unusedMs
                        + " ms after its last use");
              }
            }
          }
        });
    return violations;
  }

  /**
   * Whether a ticket is checked. A host that may not have received the answer to a request cannot
   * know that the request has completed.
   */
  private static boolean isChecked(List<EndpointRun> runs) {
    return runs.stream().noneMatch(run -> run.isOpen() || run.isImpaired());
  }

  /** Returns the number of tickets and how many of them are checked. */
  String summary() {
    long checked = usesByTicket.values().stream().filter(ReservationChecker::isChecked).count();
    return reservations.size() + " tickets, " + checked + " checked";
  }
}
