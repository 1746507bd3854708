// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.fawndrum.protocol.StorePosition;
import org.fawndrum.state.HostAddress;

/**
 * How far other daemons say that the endpoints' entries changed, and up to where this host has
 * asked each of them. A daemon that dropped an entry names a place beyond the end of what it read,
 * which no reading reaches while the store stands still, so that the place alone does not say
 * whether it was asked for. Safe for all threads.
 */
final class PeerViews {
  private final Map<HostAddress, StorePosition> told = new ConcurrentHashMap<>();
  private final Map<HostAddress, StorePosition> taken = new ConcurrentHashMap<>();

  /**
   * Takes note of what a peer tells; returns whether it is to be asked.
   *
   * @param changed the place after the last change that the peer knows
   * @param readTo up to where this host knows the entries
   */
  boolean told(HostAddress peer, StorePosition changed, StorePosition readTo) {
    told.put(peer, changed);
    return changed.isAfter(knownOf(peer, readTo));
  }

  /** Returns the place up to which nothing needs to be asked of a peer. */
  StorePosition knownOf(HostAddress peer, StorePosition readTo) {
    return readTo.max(taken.getOrDefault(peer, StorePosition.NONE));
  }

  /** Returns the last place that a peer told, which its next answer covers. */
  StorePosition lastTold(HostAddress peer) {
    return told.getOrDefault(peer, StorePosition.NONE);
  }

  /** Takes note that an answer of a peer was taken over, which covers a place. */
  void taken(HostAddress peer, StorePosition covered) {
    taken.put(peer, covered);
  }
}
