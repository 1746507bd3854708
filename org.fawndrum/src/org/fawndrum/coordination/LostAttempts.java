// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.fawndrum.coordination.crash.EndpointCrash;
import org.fawndrum.coordination.crash.RequestContent;
import org.fawndrum.coordination.crash.RequestFingerprint;
import org.fawndrum.state.HostIdentity;

/**
 * Attempts whose connection broke without evidence of a crash of their endpoint. The port of a
 * terminating endpoint may accept connections a moment longer, and that of a quickly restarted one
 * accepts them again; later information about the incarnation shows whether it crashed. Confined to
 * the coordinator's thread; times are those of the host's clock, in milliseconds.
 */
final class LostAttempts {
  /**
   * How long a broken connection is attributed to the termination of its incarnation if a later
   * incarnation is discovered, in milliseconds.
   */
  private static final long RETENTION_MS = 10_000;

  /**
   * Maximum difference between the observed times of a termination and of a connection that it
   * broke, in milliseconds.
   */
  private static final long SAME_TERMINATION_MS = 1_000;

  /** Maximum number of attempts kept: what a host loses when a whole rack of engines goes down. */
  private static final int MAX_ATTEMPTS = 256;

  private final Deque<LostAttempt> attempts = new ArrayDeque<>();

  /**
   * An attempt whose connection broke.
   *
   * @param content the content of its request
   * @param endpoint the endpoint incarnation that it was sent to
   * @param sentMs when it was sent
   * @param atMs when the connection broke
   * @param answering whether an answer had been written for some time, so that no part of its
   *     prompt is the cause
   */
  record LostAttempt(
      RequestContent content, HostIdentity endpoint, long sentMs, long atMs, boolean answering) {
    LostAttempt withTime(long otherMs) {
      return new LostAttempt(content, endpoint, sentMs, otherMs, answering);
    }

    /** Returns the loss as a crash of the endpoint; empty if the content is not known. */
    Optional<EndpointCrash> asCrash() {
      Set<RequestFingerprint> parts = answering ? Set.of() : Set.copyOf(content.parts());
      return content
          .fingerprint()
          .map(request -> new EndpointCrash(endpoint, sentMs, atMs, Set.of(request), parts));
    }
  }

  /** Adds an attempt. */
  void add(LostAttempt attempt) {
    attempts.removeIf(other -> attempt.atMs() - other.atMs() > RETENTION_MS);
    attempts.addLast(attempt);
    if (attempts.size() > MAX_ATTEMPTS) {
      attempts.removeFirst();
    }
  }

  /**
   * Removes and returns the attempts whose loss is explained by a termination of their endpoint at
   * a given time, with that time in place of their own.
   */
  List<LostAttempt> takeTerminatedWith(HostIdentity endpoint, long atMs) {
    return take(
            attempt ->
                attempt.endpoint().equals(endpoint)
                    && Math.abs(attempt.atMs() - atMs) <= SAME_TERMINATION_MS)
        .stream()
        .map(attempt -> attempt.withTime(atMs))
        .toList();
  }

  /**
   * Removes and returns the attempts whose incarnation has been superseded, latest first: the
   * endpoint was still alive when the earlier ones broke.
   */
  List<LostAttempt> takeSuperseded(Predicate<HostIdentity> superseded, long nowMs) {
    return take(
            attempt ->
                nowMs - attempt.atMs() <= RETENTION_MS && superseded.test(attempt.endpoint()))
        .stream()
        .sorted(Comparator.comparingLong(LostAttempt::atMs).reversed())
        .toList();
  }

  private List<LostAttempt> take(Predicate<LostAttempt> test) {
    List<LostAttempt> taken = attempts.stream().filter(test).toList();
    attempts.removeAll(taken);
    return taken;
  }
}
