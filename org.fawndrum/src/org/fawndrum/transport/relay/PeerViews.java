// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.fawndrum.coordination.membership.FleetMember;
import org.fawndrum.protocol.StorePosition;
import org.fawndrum.state.HostAddress;

/**
 * How far other daemons say that the endpoints' entries changed, and up to where this host has
 * asked each of them. A daemon that dropped an entry names a place beyond the end of what it read,
 * which no reading reaches while the store stands still, so that the place alone does not say
 * whether it was asked for. Such places mean something only within one incarnation of the daemon.
 * Safe for all threads.
 */
final class PeerViews {
  /** Before anything was told; no incarnation has this number. */
  private static final View NONE = new View(-1, StorePosition.NONE);

  private final Map<HostAddress, View> told = new ConcurrentHashMap<>();
  private final Map<HostAddress, View> taken = new ConcurrentHashMap<>();

  /**
   * What a daemon says of the entries.
   *
   * @param incarnation the incarnation of the daemon
   * @param changed the place after the last change that it knows
   */
  private record View(long incarnation, StorePosition changed) {}

  /**
   * A question to a peer.
   *
   * @param known the place up to which nothing needs to be told
   * @param view what the peer told before, which its answer covers
   */
  record Question(StorePosition known, View view) {
    /** Tells whether an answer is of the incarnation whose places the question names. */
    boolean isAnsweredBy(long incarnation) {
      return view == NONE || view.incarnation() == incarnation;
    }
  }

  /**
   * Takes note of what a peer tells; returns whether it is to be asked.
   *
   * @param changed the place after the last change that the peer knows
   * @param readTo up to where this host knows the entries
   */
  boolean told(FleetMember peer, StorePosition changed, StorePosition readTo) {
    View view = new View(peer.identity().incarnation(), changed);
    told.put(peer.address(), view);
    return changed.isAfter(known(peer.address(), view, readTo));
  }

  private StorePosition known(HostAddress peer, View view, StorePosition readTo) {
    View before = taken.getOrDefault(peer, NONE);
    return before.incarnation() == view.incarnation() ? readTo.max(before.changed()) : readTo;
  }

  /** Returns the question to ask a peer now. */
  Question question(HostAddress peer, StorePosition readTo) {
    View view = told.getOrDefault(peer, NONE);
    return new Question(known(peer, view, readTo), view);
  }

  /** Takes note that the answer to a question was taken over. */
  void taken(HostAddress peer, Question question) {
    taken.put(peer, question.view());
  }
}
