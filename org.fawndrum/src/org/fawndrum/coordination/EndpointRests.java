// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.fawndrum.state.HostIdentity;

/**
 * Until when endpoints want nothing from this host, as they asked. Only that time and an end of the
 * endpoint that this host saw after that end it: an endpoint that answers a request of before, or a
 * probe, has not taken its wish back, and one that shed its load is sound by the time it asks for.
 *
 * <p>An answer does not name the start that gave it. An endpoint may have started again unnoticed
 * before it asked, so that a start which becomes known after the wish may be the one that spoke; it
 * rests as well, for as long as starts take to become known.
 *
 * <p>Load, blame and crashes of an endpoint are kept elsewhere; a rest is none of these. Kept apart
 * from the list of endpoints, so that one that is missing there for a moment rests on. Safe for all
 * threads: it is read when a request is placed, and again when it is sent. Times are those of the
 * host's clock, in milliseconds.
 */
public final class EndpointRests {
  private static final long NONE = Long.MIN_VALUE;

  /** How long after its first answer a start may become known: an outage of the store. */
  static final long KNOWN_LATE_MS = 30_000;

  private final Map<String, Wish> wishes = new ConcurrentHashMap<>();

  /**
   * What an endpoint asked for.
   *
   * @param start the newest start that was known when it asked
   * @param askedMs when it asked
   * @param untilMs when its rest is over
   */
  private record Wish(long start, long askedMs, long untilMs) {
    /** Returns the end of the rest for one start of the endpoint. */
    long endMs(long ofStart) {
      if (ofStart < start) {
        return NONE;
      }
      return ofStart == start ? untilMs : Math.min(untilMs, askedMs + KNOWN_LATE_MS);
    }

    /** Returns this wish with a second one; one that ends earlier does not shorten another. */
    Wish and(Wish second) {
      return new Wish(second.start, second.askedMs, Math.max(endMs(second.start), second.untilMs));
    }
  }

  /** Takes note of a wish of an endpoint, whose newest known start is named. */
  public void asked(HostIdentity endpoint, long restMs, long nowMs) {
    wishes.values().removeIf(one -> one.untilMs() <= nowMs);
    Wish wish = new Wish(endpoint.incarnation(), nowMs, nowMs + restMs);
    wishes.merge(endpoint.host(), wish, Wish::and);
  }

  /**
   * Takes note that this host saw an endpoint end; what it asked for before is over. What others
   * tell of an end may bear the time at which they learned of it, long after the wish.
   */
  void ended(HostIdentity endpoint, long atMs) {
    wishes.computeIfPresent(endpoint.host(), (host, one) -> one.askedMs() <= atMs ? null : one);
  }

  /** Returns the end of an endpoint's rest, which may be over. */
  long endMs(HostIdentity endpoint) {
    Wish wish = wishes.get(endpoint.host());
    return wish == null ? NONE : wish.endMs(endpoint.incarnation());
  }

  /** Tells whether an endpoint wants nothing from this host now. */
  public boolean lasts(HostIdentity endpoint, long nowMs) {
    return nowMs < endMs(endpoint);
  }

  /** Returns how many endpoints rest now. */
  public long count(long nowMs) {
    return wishes.values().stream().filter(one -> nowMs < one.untilMs()).count();
  }
}
