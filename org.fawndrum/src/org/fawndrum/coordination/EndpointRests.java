// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.fawndrum.state.HostIdentity;

/**
 * Until when starts of endpoints want nothing from this host, by their own word. Only that time and
 * a later start end it: an endpoint that answers a request of before, or a probe, has not taken its
 * word back, and one that shed its load is sound by the time it asks for. Its load, blame and
 * crashes are kept elsewhere; a rest is none of these. Kept apart from the list of endpoints, so
 * that one that is missing there for a moment rests on. Safe for all threads: it is read when a
 * request is placed, and again when it is sent. Times are those of the host's clock, in
 * milliseconds.
 */
public final class EndpointRests {
  private static final long NONE = Long.MIN_VALUE;

  private final Map<HostIdentity, Long> untilMs = new ConcurrentHashMap<>();

  /** Takes note of a wish; one that ends earlier does not shorten another. */
  public void asked(HostIdentity endpoint, long restMs, long nowMs) {
    untilMs.values().removeIf(endMs -> endMs <= nowMs);
    untilMs.merge(endpoint, nowMs + restMs, Math::max);
  }

  /** Returns the end of an endpoint's rest, which may be over. */
  long endMs(HostIdentity endpoint) {
    return untilMs.isEmpty() ? NONE : untilMs.getOrDefault(endpoint, NONE);
  }

  /** Tells whether an endpoint wants nothing from this host now. */
  public boolean lasts(HostIdentity endpoint, long nowMs) {
    return nowMs < endMs(endpoint);
  }

  /** Returns how many endpoints rest now. */
  public long count(long nowMs) {
    return untilMs.values().stream().filter(endMs -> nowMs < endMs).count();
  }
}
