// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;

/**
 * Checks that all hosts together send an endpoint no more than one and a half times the rate that
 * it names in its answers, and 5 requests, in any 4 s, or in any second while it starts. Hosts
 * count from half a second after they passed on such an answer; one that restarts or is suspended
 * counts again after the next. Times are those of {@link System#nanoTime} in milliseconds. Confined
 * to one event loop.
 */
final class RateChecker {
  private static final double RATE_FACTOR = 1.5;
  private static final int SLACK_REQUESTS = 5;

  /** Time after which a host that passed on an answer counts, in milliseconds. */
  private static final long PASSED_ON_MS = 500;

  /** How long requests are held up by an impaired link after its end, in milliseconds. */
  private static final long HELD_UP_MS = 1_000;

  /** How long after a signal to a host its answers may predate the signal, in milliseconds. */
  private static final long SIGNAL_GRACE_MS = 1_000;

  private final UnaryOperator<String> hostOf;
  private final Bounds bounds;
  private final Map<String, Named> named = new HashMap<>();
  private final Map<HostEndpoint, Long> toldMs = new HashMap<>();
  private final Map<String, Long> signalledAtMs = new HashMap<>();
  private final Map<String, Long> impairedUntilMs = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private int countedArrivals;
  private int mostInWindow;

  /**
   * How the rates are judged.
   *
   * @param windowMs the time in which requests are counted, in milliseconds
   * @param contactMs the time for hosts to apply a rate that an endpoint names first
   */
  record Bounds(long windowMs, long contactMs) {
    /** Those of rates that endpoints name for as long as they are short of capacity. */
    static final Bounds NAMED = new Bounds(4_000, 3_000);

    /** Those of endpoints that start; each host counts from when it passed on an answer. */
    static final Bounds STARTING = new Bounds(1_000, 0);

    long memoryMs() {
      return windowMs + contactMs;
    }
  }

  /** A host and an endpoint, by name. */
  private record HostEndpoint(String host, String endpoint) {}

  /** A rate from a time on. */
  private record Rate(double perSecond, long fromMs) {}

  /** The rates that an endpoint has named without a pause, and what arrived meanwhile. */
  private static final class Named {
    final long firstMs;
    final Deque<Rate> rates = new ArrayDeque<>();
    final Deque<Long> arrivals = new ArrayDeque<>();

    /** Whether a violation was reported; further ones would tell nothing new. */
    boolean reported;

    Named(long firstMs) {
      this.firstMs = firstMs;
    }

    /** Returns the highest rate that hosts may go by, since they may not know a newer one. */
    double highest(long fromMs) {
      while (rates.size() > 1 && secondFromMs() < fromMs) {
        rates.removeFirst();
      }
      return rates.stream().mapToDouble(Rate::perSecond).max().orElse(0);
    }

    private long secondFromMs() {
      return rates.stream().skip(1).findFirst().orElseThrow().fromMs();
    }
  }

  /**
   * Creates a checker without records.
   *
   * @param hostOf returns the host that a request was sent to, by its id; null if it is unknown
   */
  RateChecker(UnaryOperator<String> hostOf, Bounds bounds) {
    this.hostOf = hostOf;
    this.bounds = bounds;
  }

  /** Records that an endpoint names a rate from now on. */
  void recordRate(String endpoint, double perSecond, long nowMs) {
    Named rates = named.computeIfAbsent(endpoint, key -> new Named(nowMs));
    rates.rates.addLast(new Rate(perSecond, nowMs));
  }

  /** Records that an endpoint names no rate any more, or restarts. */
  void recordNoRate(String endpoint) {
    named.remove(endpoint);
    toldMs.keySet().removeIf(pair -> pair.endpoint().equals(endpoint));
  }

  /** Records that a caller received an answer in which an endpoint names a rate. */
  void recordPassedOn(String id, String endpoint, long nowMs) {
    String host = hostOf.apply(id);
    boolean signalled =
        nowMs - signalledAtMs.getOrDefault(host, -SIGNAL_GRACE_MS) < SIGNAL_GRACE_MS;
    if (host != null && !signalled && named.containsKey(endpoint)) {
      toldMs.putIfAbsent(new HostEndpoint(host, endpoint), nowMs);
    }
  }

  /** Records that a host restarts or is suspended. */
  void recordSignal(String host, long nowMs) {
    signalledAtMs.put(host, nowMs);
    toldMs.keySet().removeIf(pair -> pair.host().equals(host));
  }

  /** Records that messages to an endpoint are delayed or lost from now on. */
  void recordImpaired(String endpoint) {
    impairedUntilMs.put(endpoint, Long.MAX_VALUE);
  }

  /** Records that messages to an endpoint are not impaired any more. */
  void recordSound(String endpoint, long nowMs) {
    impairedUntilMs.put(endpoint, nowMs + HELD_UP_MS);
  }

  /** Records and checks the arrival of a request at an endpoint. */
  void recordArrival(String id, String endpoint, long nowMs) {
    Named rates = named.get(endpoint);
    Long told = toldMs.get(new HostEndpoint(hostOf.apply(id), endpoint));
    boolean heldUp = nowMs < impairedUntilMs.getOrDefault(endpoint, 0L);
    if (rates == null || told == null || heldUp || nowMs - told < PASSED_ON_MS) {
      return;
    }
    countedArrivals++;
    rates.arrivals.addLast(nowMs);
    while (rates.arrivals.peekFirst() <= nowMs - bounds.windowMs()) {
      rates.arrivals.removeFirst();
    }
    mostInWindow = Math.max(mostInWindow, rates.arrivals.size());
    double highest = rates.highest(nowMs - bounds.memoryMs());
    double allowed = RATE_FACTOR * highest * bounds.windowMs() / 1_000 + SLACK_REQUESTS;
    boolean judged = !rates.reported && nowMs - rates.firstMs >= bounds.contactMs();
    if (judged && rates.arrivals.size() > allowed) {
      rates.reported = true;
      violations.add(
          String.format(
              "%s is one of %d requests in %d s at %s, which named %s a second",
              id, rates.arrivals.size(), bounds.windowMs() / 1_000, endpoint, highest));
    }
  }

  /** Returns the violations found up to now. */
  List<String> violations() {
    return violations;
  }

  /** Returns the number of requests counted, and the most in a window. */
  String summary() {
    return countedArrivals + " requests under a rate, at most " + mostInWindow + " in a window";
  }
}
