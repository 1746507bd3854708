// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.fawndrum.state.RequestAims;
import org.fawndrum.transport.HostClock;

/**
 * Ends attempts from which nothing has come for so long that their callers would soon give up, so
 * that another endpoint can go on. Only what may run again is watched. Confined to one event loop.
 */
final class StallWatch {
  private static final long LOOK_MS = 200;

  /** The shortest wait for a first event or answer, in milliseconds; callers wait two seconds. */
  private static final long SHORTEST_FIRST_MS = 1_000;

  /** Above this aim a first event may well take long, so that silence says nothing. */
  private static final long LONGEST_WATCHED_AIM_MS = 2_000;

  /** The wait for a first event or answer as a multiple of its aim; callers wait four aims. */
  private static final long FIRST_PER_AIM = 3;

  /** The shortest wait for a next event, in milliseconds. */
  private static final long SHORTEST_NEXT_MS = 1_200;

  /** The wait for a next event as a multiple of the longest pause in time; callers wait eight. */
  private static final long NEXT_PER_PAUSE = 5;

  private final HostClock clock;
  private final Set<RelayAttempt> attempts = new LinkedHashSet<>();

  StallWatch(Vertx vertx, HostClock clock) {
    this.clock = clock;
    vertx.setPeriodic(LOOK_MS, id -> look());
  }

  void add(RelayAttempt attempt) {
    attempts.add(attempt);
  }

  void remove(RelayAttempt attempt) {
    attempts.remove(attempt);
  }

  private void look() {
    if (attempts.isEmpty()) {
      return;
    }
    long nowMs = clock.nowMs();
    List<RelayAttempt> stalled = new ArrayList<>();
    for (RelayAttempt attempt : attempts) {
      if (nowMs - attempt.progressMs() > limitMs(attempt.aims(), attempt.begun())) {
        stalled.add(attempt);
      }
    }
    stalled.forEach(RelayAttempt::stalled);
  }

  /** Returns how long an attempt may be silent, in milliseconds. */
  static long limitMs(RequestAims aims, boolean begun) {
    if (begun) {
      return Math.max(SHORTEST_NEXT_MS, NEXT_PER_PAUSE * aims.pauseMs());
    }
    return aims.firstTokenMs() > LONGEST_WATCHED_AIM_MS
        ? Long.MAX_VALUE
        : Math.max(SHORTEST_FIRST_MS, FIRST_PER_AIM * aims.firstTokenMs());
  }
}
