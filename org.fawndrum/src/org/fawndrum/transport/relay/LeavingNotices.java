// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.fawndrum.state.HostIdentity;

/**
 * The endpoints that other daemons should know to be leaving: each is named in all messages for a
 * while after this daemon learned of it, so that one that gets lost does no harm. A daemon that
 * hears of none of them learns it from the first answer of the endpoint. Confined to one thread;
 * times are those of the host's clock, in milliseconds.
 */
final class LeavingNotices {
  /** For how long an endpoint is named, in milliseconds: five heartbeats. */
  private static final long TOLD_MS = 5_000;

  /** The most endpoints that a message names, about 20 bytes each; the last learned ones. */
  private static final int MOST_TOLD = 64;

  private final Map<HostIdentity, Long> learnedMs = new LinkedHashMap<>();

  /** Takes note of endpoints that were not known to be leaving. */
  void learned(List<HostIdentity> endpoints, long nowMs) {
    endpoints.forEach(one -> learnedMs.put(one, nowMs));
  }

  /** Returns the endpoints that a message should name now. */
  List<HostIdentity> toTell(long nowMs) {
    learnedMs.values().removeIf(atMs -> nowMs - atMs > TOLD_MS);
    int beyond = Math.max(0, learnedMs.size() - MOST_TOLD);
    return learnedMs.keySet().stream().skip(beyond).toList();
  }
}
