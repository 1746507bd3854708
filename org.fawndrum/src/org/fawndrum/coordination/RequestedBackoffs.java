// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.fawndrum.state.HostIdentity;

/**
 * Tracks until when endpoints asked this host to send them nothing. A backoff ends at the requested
 * time, or when this host sees the endpoint terminate after the request. An answer to an earlier
 * request or to a probe does not end it, and an endpoint that shed load is expected to be usable
 * again at the time it named.
 *
 * <p>An answer does not name the incarnation that sent it, and the endpoint may have restarted
 * unnoticed before. A backoff therefore also applies to incarnations that are discovered after it
 * was requested, for as long as the discovery of an incarnation can take.
 *
 * <p>Independent of an endpoint's load, failures and crashes, which are tracked elsewhere, and of
 * the endpoint list, so that a backoff survives an endpoint's temporary absence from the list.
 * Thread-safe: it is checked when a request is placed, and again when it is sent. Times are those
 * of the host's clock, in milliseconds.
 */
public final class RequestedBackoffs {
  private static final long NONE = Long.MIN_VALUE;

  /**
   * Maximum time between the first answer of an incarnation and its discovery, in milliseconds: an
   * outage of the store.
   */
  static final long MAX_DISCOVERY_DELAY_MS = 30_000;

  private final Map<String, Backoff> backoffs = new ConcurrentHashMap<>();

  /**
   * A requested backoff.
   *
   * @param incarnation the newest incarnation known at the time of the request
   * @param requestedMs when it was requested
   * @param untilMs when it ends
   */
  private record Backoff(long incarnation, long requestedMs, long untilMs) {
    /** Returns the end of the backoff for one incarnation of the endpoint. */
    long endMs(long ofIncarnation) {
      if (ofIncarnation < incarnation) {
        return NONE;
      }
      return ofIncarnation == incarnation
          ? untilMs
          : Math.min(untilMs, requestedMs + MAX_DISCOVERY_DELAY_MS);
    }

    /** Combines this backoff with a later one; the later one does not shorten it. */
    Backoff mergedWith(Backoff second) {
      return new Backoff(
          second.incarnation,
          second.requestedMs,
          Math.max(endMs(second.incarnation), second.untilMs));
    }
  }

  /** Records the backoff requested by an endpoint, given with its newest known incarnation. */
  public void requested(HostIdentity endpoint, long durationMs, long nowMs) {
    backoffs.values().removeIf(backoff -> backoff.untilMs() <= nowMs);
    Backoff backoff = new Backoff(endpoint.incarnation(), nowMs, nowMs + durationMs);
    backoffs.merge(endpoint.host(), backoff, Backoff::mergedWith);
  }

  /**
   * Records that this host saw an endpoint terminate, which ends a backoff requested before.
   * Terminations reported by other hosts must not be passed in: their time may be that of the
   * report, long after the backoff was requested.
   */
  void terminated(HostIdentity endpoint, long atMs) {
    backoffs.computeIfPresent(
        endpoint.host(), (host, backoff) -> backoff.requestedMs() <= atMs ? null : backoff);
  }

  /**
   * Returns the end of an endpoint's backoff, which may have passed; {@link Long#MIN_VALUE} if none
   * applies.
   */
  long endMs(HostIdentity endpoint) {
    Backoff backoff = backoffs.get(endpoint.host());
    return backoff == null ? NONE : backoff.endMs(endpoint.incarnation());
  }

  /** Whether an endpoint asked this host to send nothing now. */
  public boolean isActive(HostIdentity endpoint, long nowMs) {
    return nowMs < endMs(endpoint);
  }

  /** Returns the number of endpoints in backoff. */
  public long activeCount(long nowMs) {
    return backoffs.values().stream().filter(backoff -> nowMs < backoff.untilMs()).count();
  }
}
