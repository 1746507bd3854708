// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What endpoints said about themselves in their answers, and what reached them from the hosts that
 * had been told. Times are those of {@link System#nanoTime} in milliseconds. Confined to one event
 * loop.
 */
final class NoticeLedger {
  /**
   * A request that is sent later than this after its host passed on an answer which says that an
   * endpoint leaves must not reach that endpoint, in milliseconds.
   */
  private static final long LEAVING_MS = 2_000;

  /** For how long requests that were on their way may reach an endpoint that asked for rest. */
  private static final long ON_THE_WAY_MS = 500;

  /** How many requests may reach it after that from one host until its rest is over. */
  private static final int MOST_IN_REST = 2;

  /** For how long after a signal to a host its answers may be of before, in milliseconds. */
  private static final long TROUBLED_MS = 1_000;

  private final Map<String, Sent> sent = new HashMap<>();
  private final Map<String, Long> troubledMs = new HashMap<>();
  private final Map<Pair, Long> toldMs = new HashMap<>();
  private final Map<Pair, Rest> rests = new HashMap<>();
  private final Map<String, Integer> starts = new HashMap<>();

  /** Which start of its endpoint each request arrived at last. */
  private final Map<Arrival, Integer> startOf = new HashMap<>();

  private final List<String> broken = new ArrayList<>();
  private int told;
  private int asked;

  /** A host and an endpoint. */
  private record Pair(String host, String endpoint) {}

  /** A request at an endpoint. */
  private record Arrival(String id, String endpoint) {}

  /** A request, as it was sent to a host. */
  private record Sent(String host, long atMs) {}

  /** The rest that an endpoint asked a host for. */
  private static final class Rest {
    final long fromMs;
    final long untilMs;
    int arrivals;

    Rest(long fromMs, long untilMs) {
      this.fromMs = fromMs;
      this.untilMs = untilMs;
    }
  }

  /** Takes note of a request before it is sent. */
  void sent(String id, String host, long nowMs) {
    sent.put(id, new Sent(host, nowMs));
  }

  /** Takes note of an answer that came to a caller, and says that its endpoint leaves. */
  void passedOn(String id, String endpoint, long nowMs) {
    told++;
    Sent request = sent.get(id);
    // An answer may come when the start that gave it is over; it binds nobody at the next one.
    int start = starts.getOrDefault(endpoint, 0);
    boolean ofThisStart = startOf.getOrDefault(new Arrival(id, endpoint), 0) == start;
    if (request != null && ofThisStart && !isTroubled(request.host(), nowMs)) {
      toldMs.putIfAbsent(new Pair(request.host(), endpoint), nowMs);
    }
  }

  /** Takes note that an endpoint turned a request away, and for how long it wants nothing. */
  void askedForRest(String id, String endpoint, long restMs, long nowMs) {
    asked++;
    Sent request = sent.get(id);
    if (request != null && !isTroubled(request.host(), nowMs)) {
      Pair pair = new Pair(request.host(), endpoint);
      Rest before = rests.get(pair);
      if (before == null || before.untilMs <= nowMs) {
        rests.put(pair, new Rest(nowMs + ON_THE_WAY_MS, nowMs + restMs));
      }
    }
  }

  /** Takes note that a host starts or stands still, and may forget or not know what it was told. */
  void troubled(String host, long nowMs) {
    troubledMs.put(host, nowMs);
    toldMs.keySet().removeIf(pair -> pair.host().equals(host));
    rests.keySet().removeIf(pair -> pair.host().equals(host));
  }

  private boolean isTroubled(String host, long nowMs) {
    return nowMs - troubledMs.getOrDefault(host, -TROUBLED_MS) < TROUBLED_MS;
  }

  /** Takes note that what goes to an endpoint and comes from it may be late or lost. */
  void linkHarmed(String endpoint) {
    rests.keySet().removeIf(pair -> pair.endpoint().equals(endpoint));
  }

  /** Takes note that an endpoint starts again: its earlier start said what it said. */
  void over(String endpoint) {
    starts.merge(endpoint, 1, Integer::sum);
    toldMs.keySet().removeIf(pair -> pair.endpoint().equals(endpoint));
    rests.keySet().removeIf(pair -> pair.endpoint().equals(endpoint));
  }

  /** Takes note that a request arrived at an endpoint. */
  void arrived(String id, String endpoint, long nowMs) {
    Sent request = sent.get(id);
    if (request == null) {
      return;
    }
    startOf.put(new Arrival(id, endpoint), starts.getOrDefault(endpoint, 0));
    Pair pair = new Pair(request.host(), endpoint);
    Long since = toldMs.get(pair);
    if (since != null && request.atMs() > since + LEAVING_MS) {
      long afterMs = request.atMs() - since;
      broken.add(id + " reached " + endpoint + ", sent " + afterMs + " ms after it said it leaves");
    }
    Rest rest = rests.get(pair);
    if (rest != null && nowMs > rest.fromMs && nowMs < rest.untilMs) {
      rest.arrivals++;
      if (rest.arrivals == MOST_IN_REST + 1) {
        broken.add(
            id + " reached " + endpoint + " in its rest, after two others of " + pair.host());
      }
    }
  }

  /** Returns what was broken up to now. */
  List<String> broken() {
    return broken;
  }

  /** Returns how often endpoints said something about themselves. */
  String summary() {
    return told + " answers said that their endpoint leaves, " + asked + " asked for rest";
  }
}
