// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.function.Predicate;
import org.fawndrum.coordination.crash.RequestContent;
import org.fawndrum.state.HostIdentity;

/**
 * Attempts whose connections broke while nothing showed that their endpoints had ended. The port of
 * an endpoint that ends may take connections for a moment longer, and one that is soon back takes
 * them again; what is heard of the same start later tells what it was. Confined to the
 * coordinator's thread; times are those of the host's clock, in milliseconds.
 */
final class LostAttempts {
  /** For how long a later start of the endpoint says that the earlier one had ended then. */
  private static final long KEEP_MS = 10_000;

  /** How far apart an end and a connection that broke with it are seen at most. */
  private static final long SAME_END_MS = 1_000;

  /** The attempts that are kept at most: what a host loses when a whole rack of engines ends. */
  private static final int MOST = 256;

  private final Deque<Lost> attempts = new ArrayDeque<>();

  /**
   * An attempt whose connection broke.
   *
   * @param content what its request asks
   * @param endpoint the start that it was sent to
   * @param sentMs when it was sent
   * @param atMs when the connection broke
   */
  record Lost(RequestContent content, HostIdentity endpoint, long sentMs, long atMs) {
    Lost at(long otherMs) {
      return new Lost(content, endpoint, sentMs, otherMs);
    }
  }

  /** Keeps an attempt. */
  void add(Lost lost) {
    attempts.removeIf(one -> lost.atMs() - one.atMs() > KEEP_MS);
    attempts.addLast(lost);
    if (attempts.size() > MOST) {
      attempts.removeFirst();
    }
  }

  /** Takes those out that an end of their endpoint, seen at a time, explains; with that time. */
  List<Lost> endedWith(HostIdentity endpoint, long atMs) {
    return take(
            one -> one.endpoint().equals(endpoint) && Math.abs(one.atMs() - atMs) <= SAME_END_MS)
        .stream()
        .map(one -> one.at(atMs))
        .toList();
  }

  /**
   * Takes those out whose start is over, as is known now; the last one first, because the endpoint
   * lived when those before it broke.
   */
  List<Lost> startedAgain(Predicate<HostIdentity> over, long nowMs) {
    return take(one -> nowMs - one.atMs() <= KEEP_MS && over.test(one.endpoint())).stream()
        .sorted(Comparator.comparingLong(Lost::atMs).reversed())
        .toList();
  }

  private List<Lost> take(Predicate<Lost> test) {
    List<Lost> some = attempts.stream().filter(test).toList();
    attempts.removeAll(some);
    return some;
  }
}
