// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.peer;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.fawndrum.state.HostAddress;

/**
 * For how long a connection to a host may leave requests without a reply before it is given up: it
 * may have fallen silent for good, which a new one shows at once. If that one brings no reply
 * either, it was the host that was late, and another new connection is only more work for it; so
 * each one gets twice the time of the one before, until a reply arrives. Thread-safe; times are in
 * milliseconds.
 */
final class ReplyTimeouts {
  /** The longest time: several times what a host needs that has few processors and just started. */
  static final long MAX_MS = 8_000;

  private final long firstMs;
  private final Map<HostAddress, Long> current = new ConcurrentHashMap<>();

  /**
   * Creates the timeouts with hosts that have not failed to reply yet.
   *
   * @param firstMs the time for the first connection to each host
   */
  ReplyTimeouts(long firstMs) {
    this.firstMs = firstMs;
  }

  /** Records a reply of a host. */
  void replied(HostAddress host) {
    current.remove(host);
  }

  /**
   * Returns whether a connection to a host is to be given up; the next one then gets more time.
   *
   * @param unansweredMs for how long requests on it have been without a reply
   */
  boolean givesUp(HostAddress host, long unansweredMs) {
    long timeoutMs = current.getOrDefault(host, firstMs);
    if (unansweredMs < timeoutMs) {
      return false;
    }
    current.put(host, Math.min(MAX_MS, 2 * timeoutMs));
    return true;
  }
}
