// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.fawndrum.state.HostIdentity;

/**
 * The endpoint shutdowns to announce to other daemons. Each is included in all messages for a while
 * after this daemon learned of it, so that a lost message has no effect. A daemon that receives
 * none of them learns of the shutdown from the first answer of the endpoint. Confined to one
 * thread; times are those of the host's clock, in milliseconds.
 */
final class ShutdownNotices {
  /** How long a shutdown is announced, in milliseconds: five heartbeats. */
  private static final long ANNOUNCE_MS = 5_000;

  /**
   * Maximum number of endpoints in a message, about 20 bytes each; the latest ones are included.
   */
  private static final int MAX_ANNOUNCED = 64;

  private final Map<HostIdentity, Long> addedMs = new LinkedHashMap<>();

  /** Adds endpoints that are newly known to be shutting down. */
  void add(List<HostIdentity> endpoints, long nowMs) {
    endpoints.forEach(endpoint -> addedMs.put(endpoint, nowMs));
  }

  /** Returns the endpoints to announce in a message sent now. */
  List<HostIdentity> current(long nowMs) {
    addedMs.values().removeIf(atMs -> nowMs - atMs > ANNOUNCE_MS);
    int excess = Math.max(0, addedMs.size() - MAX_ANNOUNCED);
    return addedMs.keySet().stream().skip(excess).toList();
  }
}
