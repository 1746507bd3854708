// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fawndrum.state.HostIdentity;

/**
 * Lets one copy of a suspected request run at a time, over all hosts, so that each endpoint that
 * ends under it is known before the next one is risked. A host says that it sends the request next,
 * waits until the others have heard it, and sends. Of two that say so at the same time the one with
 * the lower name goes first. A turn is over with an end under the request, its answer or its time,
 * so that a host that is gone keeps nobody waiting for long.
 *
 * <p>Confined to one thread; times are those of the host's clock, in milliseconds.
 */
final class SuspectTurns {
  /** How long the others need to hear of a turn: news take 10 to 50 ms over speakers. */
  static final long HEARD_MS = 100;

  /** How long a turn lasts at most: a request that ends endpoints does so within this time. */
  static final long TURN_MS = 2_000;

  /** The turns that are kept at most. */
  private static final int MOST_TURNS = 256;

  private final HostIdentity self;
  private final Map<RequestFingerprint, SuspectTurn> turns = new LinkedHashMap<>();
  private final Set<SuspectTurn> begun = new HashSet<>();

  SuspectTurns(HostIdentity self) {
    this.self = self;
  }

  /** Takes a turn for this host unless another has it; returns the new turn, or null. */
  SuspectTurn ask(RequestFingerprint request, long nowMs) {
    if (current(request, nowMs) != null) {
      return null;
    }
    SuspectTurn own = new SuspectTurn(request, self, nowMs);
    put(own);
    return own;
  }

  /**
   * Takes this host's turn, once the others have heard of it; empty before that, or if it is taken.
   */
  Optional<SuspectTurn> begin(RequestFingerprint request, long nowMs) {
    SuspectTurn turn = current(request, nowMs);
    boolean mine = turn != null && turn.host().equals(self) && nowMs - turn.atMs() >= HEARD_MS;
    return mine && begun.add(turn) ? Optional.of(turn) : Optional.empty();
  }

  /** Tells whether a turn that was taken lasts. */
  boolean lasts(SuspectTurn turn, long nowMs) {
    return turn.equals(current(turn.request(), nowMs));
  }

  /** Ends a turn that was taken: its attempt is over, and no endpoint ended under it. */
  void end(SuspectTurn turn) {
    if (turn.equals(turns.get(turn.request()))) {
      forget(turn.request());
    }
  }

  /** Takes note that something is known of the request since a time: turns of before are over. */
  void over(RequestFingerprint request, long atMs) {
    SuspectTurn turn = turns.get(request);
    if (turn != null && turn.atMs() <= atMs) {
      forget(request);
    }
  }

  private void forget(RequestFingerprint request) {
    begun.remove(turns.remove(request));
  }

  /** Takes another host's turn; returns whether it goes before what was known. */
  boolean heard(SuspectTurn told, long nowMs) {
    SuspectTurn known = current(told.request(), nowMs);
    boolean late = nowMs - told.atMs() > TURN_MS;
    if (late || known != null && !goesBefore(told, known)) {
      return false;
    }
    put(told);
    return true;
  }

  private static boolean goesBefore(SuspectTurn told, SuspectTurn known) {
    if (told.host().equals(known.host())) {
      return told.atMs() > known.atMs() + HEARD_MS;
    }
    boolean together = Math.abs(told.atMs() - known.atMs()) <= HEARD_MS;
    return together
        ? told.host().host().compareTo(known.host().host()) < 0
        : told.atMs() < known.atMs();
  }

  private SuspectTurn current(RequestFingerprint request, long nowMs) {
    SuspectTurn turn = turns.get(request);
    return turn == null || nowMs - turn.atMs() > TURN_MS ? null : turn;
  }

  private void put(SuspectTurn turn) {
    forget(turn.request());
    turns.put(turn.request(), turn);
    if (turns.size() > MOST_TURNS) {
      forget(turns.keySet().iterator().next());
    }
  }
}
