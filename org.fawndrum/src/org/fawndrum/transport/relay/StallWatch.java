// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.vertx.core.Vertx;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.fawndrum.coordination.AwakeTimes;
import org.fawndrum.state.RequestAims;
import org.fawndrum.transport.HostClock;

/**
 * Finds attempts from which nothing has come for so long that their callers would soon give up, so
 * that another endpoint can go on; only what may run again makes way so. Where silence alone says
 * nothing, or memory is held, has the attempt look whether its engine is alive. Confined to one
 * event loop.
 */
final class StallWatch {
  private static final long LOOK_MS = 200;

  /** The shortest wait for a first event or answer, in milliseconds; callers wait two seconds. */
  private static final long SHORTEST_FIRST_MS = 1_000;

  /** Above this aim a first event may well take long, so that silence says nothing by itself. */
  private static final long LONGEST_WATCHED_AIM_MS = 2_000;

  /** The wait for a first event or answer as a multiple of its aim; callers wait four aims. */
  private static final long FIRST_PER_AIM = 3;

  /** The shortest wait for a next event, in milliseconds. */
  private static final long SHORTEST_NEXT_MS = 1_200;

  /** The wait for a next event as a multiple of the longest pause in time; callers wait eight. */
  private static final long NEXT_PER_PAUSE = 5;

  private final HostClock clock;
  private final AwakeTimes awake = new AwakeTimes(LOOK_MS);
  private final Set<RelayAttempt> attempts = new LinkedHashSet<>();
  private volatile int holdingMemory;
  private volatile long longestSilenceMs;

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

  /** Returns how many attempts hold memory on other engines; safe for all threads. */
  int holdingMemory() {
    return holdingMemory;
  }

  /**
   * Returns for how long the engine of some watched attempt has given no sign of life, in
   * milliseconds; safe for all threads.
   */
  long longestSilenceMs() {
    return longestSilenceMs;
  }

  /** Returns when this host looks, and so when it last was awake; safe for all threads. */
  AwakeTimes awake() {
    return awake;
  }

  private void look() {
    awake.looked(clock.nowMs());
    holdingMemory = (int) attempts.stream().filter(RelayAttempt::holdsMemory).count();
    longestSilenceMs =
        attempts.stream()
            .filter(RelayAttempt::engineMatters)
            .mapToLong(RelayAttempt::silentMs)
            .max()
            .orElse(0);
    long nowMs = clock.nowMs();
    // Looking may end attempts, which then leave the set.
    for (RelayAttempt attempt : List.copyOf(attempts)) {
      if (attempt.repeatable() && nowMs - attempt.progressMs() > limitMs(attempt)) {
        attempt.stalled();
      } else {
        attempt.checkEngine();
      }
    }
  }

  private static long limitMs(RelayAttempt attempt) {
    return limitMs(attempt.aims(), attempt.begun());
  }

  /** Tells whether silence alone never ends an attempt before its first event. */
  static boolean mayBeLong(RequestAims aims) {
    return limitMs(aims, false) == Long.MAX_VALUE;
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
