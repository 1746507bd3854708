// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fawndrum.coordination.crash.SuspectTurn;
import org.fawndrum.state.Column;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.Row;

/** A request that has no final answer yet. Confined to the decisions' thread. */
final class LiveRequest {
  final RequestFacts facts;
  final Row row;
  final long deadlineMs;
  final int priority;
  final List<Attempt> attempts = new ArrayList<>(1);
  final Set<HostIdentity> excluded = new HashSet<>(0);
  boolean waiting;

  /** Attempts that failed before anything was sent. */
  int unsent;

  /**
   * The lane it waits in; lanes follow the mix of lengths, so that it cannot be worked out again.
   */
  Object lane;

  boolean shownWaiting;

  /** Before this time it is not offered to the placement, by the host's clock. */
  long offerAgainMs;

  boolean firstTokenSeen;

  /** The turn of a suspected request, where this is the copy that may run; null for most. */
  SuspectTurn turn;

  /** One attempt with its endpoint and where it stands. */
  static final class Attempt {
    final AttemptId id;
    final EndpointState endpoint;
    final List<Long> jobs = new ArrayList<>(1);
    final Optional<Reading> reading;
    final long sentMs;

    /** The engine that kept the others from taking the request; null when none did. */
    HostIdentity helperAtFault;

    /** Whether its endpoint was seen to end under it. */
    boolean endSeen;

    AttemptState state = AttemptState.WAITING;

    Attempt(AttemptId id, Placement.Choice choice, long sentMs) {
      this.id = id;
      this.endpoint = choice.state();
      this.reading = choice.reading();
      this.sentMs = sentMs;
    }

    /** Tells whether it may have run and brought no whole answer. */
    boolean mayHaveRunInVain() {
      return state != AttemptState.DONE && state.ran() != Ran.NO;
    }
  }

  /** Returns a request that has just arrived; its time is the shorter of the row's and its own. */
  static LiveRequest of(RequestFacts facts, Row row) {
    long allowedMs = row.number(Column.DEADLINE_MS);
    long limitMs = facts.wantedMs() > 0 ? Math.min(allowedMs, facts.wantedMs()) : allowedMs;
    int priority = PromptPriority.of(row, facts.promptTokens());
    return new LiveRequest(facts, row, facts.arrivedMs() + limitMs, priority);
  }

  LiveRequest(RequestFacts facts, Row row, long deadlineMs, int priority) {
    this.facts = facts;
    this.row = row;
    this.deadlineMs = deadlineMs;
    this.priority = priority;
  }

  /** Forgets which endpoints it is kept from when that leaves none of so many. */
  void allowAllIfNoneIsLeft(int candidates) {
    if (excluded.size() >= candidates) {
      excluded.clear();
    }
  }

  Attempt last() {
    return attempts.isEmpty() ? null : attempts.get(attempts.size() - 1);
  }

  Attempt attempt(int number) {
    return number >= 1 && number <= attempts.size() ? attempts.get(number - 1) : null;
  }

  /** Returns what all attempts together prove: "no" only if none can have run. */
  Ran ran() {
    Ran ran = Ran.NO;
    for (Attempt attempt : attempts) {
      Ran one = attempt.state.ran();
      if (one.compareTo(ran) > 0) {
        ran = one;
      }
    }
    return ran;
  }
}
