// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fawndrum.coordination.crash.ExecutionLease;
import org.fawndrum.state.Column;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.Row;

/** A request without a final answer. Confined to the coordinator's thread. */
final class OpenRequest {
  final RequestFacts facts;
  final Row row;
  final long deadlineMs;
  final int priority;
  final List<Attempt> attempts = new ArrayList<>(1);
  final Set<HostIdentity> excludedEndpoints = new HashSet<>(0);
  boolean waiting;

  /** Number of attempts that failed before anything was sent. */
  int unsentAttempts;

  int attemptsWithoutPath;

  /**
   * The lane that it waits in. Kept because the length classes of lanes change over time, so that
   * the lane cannot be recomputed.
   */
  Object lane;

  /** The reasons for which its wait was recorded. */
  final Set<Reason> recordedWaits = EnumSet.noneOf(Reason.class);

  /** Earliest time at which it is offered to the placement again, by the host's clock. */
  long nextOfferMs;

  boolean firstTokenSeen;

  /** The execution lease of a suspected request that may run here; null for most requests. */
  ExecutionLease lease;

  /** One attempt with its endpoint and state. */
  static final class Attempt {
    private static final long NOT_ANSWERING = Long.MAX_VALUE;

    final AttemptId id;
    final EndpointState endpoint;
    final List<Long> jobIds = new ArrayList<>(1);
    final Optional<Prefill> prefill;
    final long sentMs;

    /** When its answer began; {@link #NOT_ANSWERING} before. */
    long answeringSinceMs = NOT_ANSWERING;

    /** Whether its endpoint was asked whether it goes on, and has not answered. */
    boolean isDoubtful;

    /** The helper engine that caused the refusal of the attempt; null if none did. */
    HostIdentity failedHelper;

    /** Whether its endpoint was seen to terminate while the attempt ran. */
    boolean terminationSeen;

    AttemptState state = AttemptState.WAITING;

    Attempt(AttemptId id, Placement.Choice choice, long sentMs) {
      this.id = id;
      this.endpoint = choice.state();
      this.prefill = choice.prefill();
      this.sentMs = sentMs;
    }

    /** Records that a part of its answer arrived. */
    void answerArrived(long nowMs) {
      answeringSinceMs = Math.min(answeringSinceMs, nowMs);
    }

    /** Whether its answer began before a time. */
    boolean wasAnsweringAt(long atMs) {
      return answeringSinceMs <= atMs;
    }

    /** Whether it may have run without giving a whole answer. */
    boolean mayHaveRunUnanswered() {
      return state != AttemptState.DONE && state.ran() != Ran.NO;
    }
  }

  /**
   * Creates a request that has just arrived. Its timeout is the shorter of the row's and the
   * caller's.
   */
  static OpenRequest of(RequestFacts facts, Row row) {
    long allowedMs = row.number(Column.DEADLINE_MS);
    long limitMs =
        facts.callerTimeoutMs() > 0 ? Math.min(allowedMs, facts.callerTimeoutMs()) : allowedMs;
    int priority = PromptPriority.of(row, facts.promptTokens());
    return new OpenRequest(facts, row, facts.arrivedMs() + limitMs, priority);
  }

  OpenRequest(RequestFacts facts, Row row, long deadlineMs, int priority) {
    this.facts = facts;
    this.row = row;
    this.deadlineMs = deadlineMs;
    this.priority = priority;
  }

  /** Clears the excluded endpoints if there are no more candidates than exclusions. */
  void clearExclusionsIfNoneLeft(int candidates) {
    if (excludedEndpoints.size() >= candidates) {
      excludedEndpoints.clear();
    }
  }

  Attempt lastAttempt() {
    return attempts.isEmpty() ? null : attempts.get(attempts.size() - 1);
  }

  Attempt attempt(int number) {
    return number >= 1 && number <= attempts.size() ? attempts.get(number - 1) : null;
  }

  /** Returns what all attempts together prove: {@link Ran#NO} only if none can have run. */
  Ran ran() {
    Ran ran = Ran.NO;
    for (Attempt attempt : attempts) {
      Ran attemptRan = attempt.state.ran();
      if (attemptRan.compareTo(ran) > 0) {
        ran = attemptRan;
      }
    }
    return ran;
  }
}
