// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.fawndrum.state.HostIdentity;

/**
 * Remembers for a time which endpoints answered a request twice. On each of their connections that
 * is kept, a second answer may be under way, which would cost the next request there an attempt;
 * requests therefore reach them on new connections. Thread-safe. Times are those of the host's
 * clock, in milliseconds.
 */
public final class StutteringEndpoints {
  /**
   * How long an endpoint is remembered after the last second answer that was seen. An idle
   * connection is kept for 8 s, so that those from before have been closed by then.
   */
  static final long REMEMBERED_MS = 10_000;

  private final Map<HostIdentity, Long> untilMs = new ConcurrentHashMap<>();

  /** Records that an endpoint answered a request twice. */
  public void stuttered(HostIdentity endpoint, long nowMs) {
    untilMs.values().removeIf(until -> until <= nowMs);
    untilMs.merge(endpoint, nowMs + REMEMBERED_MS, Math::max);
  }

  /** Returns whether an endpoint answered a request twice not long ago. */
  public boolean isRemembered(HostIdentity endpoint, long nowMs) {
    Long until = untilMs.get(endpoint);
    return until != null && nowMs < until;
  }
}
