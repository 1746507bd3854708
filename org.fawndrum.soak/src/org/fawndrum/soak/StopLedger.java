// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Planned stops, and what became of requests that were wholly sent to a stopping host: each is
 * answered or refused, and none is cut. Confined to one event loop.
 */
final class StopLedger {
  /**
   * Work that is sent later than this after the order to stop must not be begun, in milliseconds.
   */
  private static final long LAST_NEW_MS = 3_000;

  /** The part of the grace period after which work from before may be cut. */
  private static final long PARTS = 6;

  /**
   * A host that closes an idle connection, or ends, may not have read what just arrived there; what
   * got no answer for longer than this was read if the host's log names it, in milliseconds.
   */
  private static final long READ_MS = 250;

  /** What got no answer for longer than this was read in any case, in milliseconds. */
  private static final long SURELY_READ_MS = 1_000;

  /** By how much the soak may see a close late, in milliseconds. */
  private static final long LATE_MS = 500;

  private static final long STILL_STOPPING = Long.MAX_VALUE / 2;

  private final long graceMs;
  private final List<Stop> stops = new ArrayList<>();
  private final Map<String, Sent> sent = new HashMap<>();
  private final Map<String, List<EndpointRun>> runs = new HashMap<>();
  private final Map<String, Cut> cuts = new LinkedHashMap<>();
  private final List<Long> harmedFromMs = new ArrayList<>();
  private final List<Long> harmedUntilMs = new ArrayList<>();

  /** A planned stop of a host. */
  private record Stop(String host, long orderedMs, long endedMs) {}

  /** A request that was wholly sent. */
  private record Sent(String host, long atMs, long deadlineMs) {}

  /** The end of a request without a whole answer. */
  private record Cut(boolean midAnswer, long atMs) {}

  StopLedger(long graceMs) {
    this.graceMs = graceMs;
  }

  /** Takes note that a host is about to be told to stop. */
  void ordered(String host, long nowMs) {
    stops.add(new Stop(host, nowMs, STILL_STOPPING));
  }

  /** Takes note that the host which was told last has ended. */
  void ended(long nowMs) {
    Stop stop = stops.remove(stops.size() - 1);
    stops.add(new Stop(stop.host(), stop.orderedMs(), nowMs));
  }

  /** Takes note that a request was wholly sent, and how long its caller waits. */
  void sent(String id, String host, long deadlineMs, long nowMs) {
    sent.put(id, new Sent(host, nowMs, deadlineMs));
  }

  /** Takes note that a request arrived at an endpoint. */
  void arrived(String id, EndpointRun run) {
    runs.computeIfAbsent(id, key -> new ArrayList<>()).add(run);
  }

  /** Takes note that connections to some endpoint are harmed, or that it loses answers. */
  void harmBegan(long nowMs) {
    harmedFromMs.add(nowMs);
  }

  /** Takes note that one such endpoint is sound again. */
  void harmEnded(long nowMs) {
    harmedUntilMs.add(nowMs);
  }

  /** Takes note that a caller's connection closed before the end of an answer. */
  void cut(String id, boolean midAnswer, long nowMs) {
    cuts.put(id, new Cut(midAnswer, nowMs));
  }

  /**
   * Returns which requests were cut by a planned stop.
   *
   * @param named tells whether a host's log names a request
   */
  List<String> broken(Predicate<String> named) {
    List<String> broken = new ArrayList<>();
    cuts.forEach(
        (id, cut) -> {
          Stop stop = stopOf(id, cut);
          if (stop != null && wasTaken(id, cut, named) && !excused(id, cut, stop)) {
            broken.add(
                id
                    + " was cut "
                    + (cut.atMs() - stop.orderedMs())
                    + " ms after "
                    + stop.host()
                    + " was told to stop, sent at "
                    + (sent.get(id).atMs() - stop.orderedMs())
                    + " ms");
          }
        });
    return broken;
  }

  private Stop stopOf(String id, Cut cut) {
    Sent request = sent.get(id);
    if (request == null) {
      return null;
    }
    return stops.stream()
        .filter(stop -> stop.host().equals(request.host()) && request.atMs() < stop.endedMs())
        .filter(stop -> cut.atMs() >= stop.orderedMs() && cut.atMs() <= stop.endedMs() + LATE_MS)
        .findFirst()
        .orElse(null);
  }

  private boolean wasTaken(String id, Cut cut, Predicate<String> named) {
    long waitedMs = cut.atMs() - sent.get(id).atMs();
    return cut.midAnswer()
        || runs.containsKey(id)
        || waitedMs > SURELY_READ_MS
        || waitedMs > READ_MS && named.test(id);
  }

  private boolean excused(String id, Cut cut, Stop stop) {
    Sent request = sent.get(id);
    if (cut.atMs() >= request.atMs() + request.deadlineMs() - LATE_MS) {
      return true;
    }
    List<EndpointRun> all = runs.getOrDefault(id, List.of());
    EndpointRun last = all.isEmpty() ? null : all.get(all.size() - 1);
    if (last != null && (last.isHarmed() || last.isBrokenOff())) {
      return true;
    }
    if (cut.midAnswer() && brokeOff(all)) {
      return true;
    }
    boolean elsewhere = last == null || !last.atWork(cut.atMs() - LATE_MS);
    if (elsewhere && harmed(request.atMs(), cut.atMs())) {
      return true;
    }
    long lastSixthMs = stop.orderedMs() + graceMs * (PARTS - 1) / PARTS;
    return request.atMs() <= stop.orderedMs() + LAST_NEW_MS
        && last != null
        && last.atWork(lastSixthMs);
  }

  /**
   * Tells whether the endpoint that sent the answer last broke it off. The host may have tried
   * others in vain since; once another goes on with the answer, the earlier break no longer counts.
   */
  private static boolean brokeOff(List<EndpointRun> all) {
    EndpointRun sender = null;
    for (EndpointRun run : all) {
      sender = run.hasAnswered() ? run : sender;
    }
    return sender != null && (sender.isBrokenOff() || sender.isLostOnItsWay());
  }

  /**
   * Tells whether at some time in a span a request may have been on its way to no sound endpoint.
   */
  private boolean harmed(long fromMs, long untilMs) {
    long begun = harmedFromMs.stream().filter(atMs -> atMs <= untilMs).count();
    long ended = harmedUntilMs.stream().filter(atMs -> atMs < fromMs).count();
    return begun > ended;
  }

  /** Returns how many requests were sent to stopping hosts, and how many were cut there. */
  String summary() {
    long during =
        sent.values().stream()
            .filter(
                request ->
                    stops.stream()
                        .anyMatch(
                            stop ->
                                stop.host().equals(request.host())
                                    && request.atMs() >= stop.orderedMs()
                                    && request.atMs() < stop.endedMs()))
            .count();
    long cutThere =
        cuts.entrySet().stream()
            .filter(cut -> stopOf(cut.getKey(), cut.getValue()) != null)
            .filter(cut -> wasTaken(cut.getKey(), cut.getValue(), id -> false))
            .count();
    return stops.size() + " stops, " + during + " sent in them, " + cutThere + " cut";
  }
}
