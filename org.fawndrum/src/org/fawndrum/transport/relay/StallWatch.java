// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.vertx.core.Vertx;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.fawndrum.coordination.PauseDetector;
import org.fawndrum.coordination.UsualSilence;
import org.fawndrum.state.LatencyTargets;
import org.fawndrum.transport.HostClock;

/**
 * Detects attempts without progress for so long that their callers would soon give up, so that
 * another endpoint can take over; this applies only to requests that may be repeated. Where most
 * engines are late, one that answers probes may be silent for longer. Where silence alone proves
 * nothing, or memory is reserved, the engine is probed. Confined to one event loop.
 */
final class StallWatch {
  private static final long POLL_MS = 200;

  /**
   * Time since the last poll from which on this host was paused, in milliseconds: what arrived
   * meanwhile is not read yet, and its endpoints were not silent.
   */
  private static final long PAUSED_MS = 3 * POLL_MS;

  /**
   * Minimum wait for a first event or answer, in milliseconds, of an endpoint that this host cannot
   * connect to any more; callers wait two seconds.
   */
  private static final long MIN_FIRST_EVENT_MS = 1_000;

  /**
   * Minimum silence of any other endpoint, in milliseconds: a sound one may fall silent for a
   * second or so and go on.
   */
  static final long MIN_SILENCE_MS = 1_500;

  /**
   * First-token target, in milliseconds, above which a first event may take so long that silence
   * alone proves nothing.
   */
  private static final long MAX_WATCHED_TARGET_MS = 2_000;

  /**
   * Wait for a first event or answer as a multiple of its target; callers wait four times the
   * target.
   */
  private static final long FIRST_EVENT_TARGETS = 3;

  /** Minimum wait for a subsequent event of an endpoint that cannot be reached, in milliseconds. */
  private static final long MIN_NEXT_EVENT_MS = 1_200;

  /**
   * Wait for a subsequent event as a multiple of the target pause; callers wait eight times the
   * pause.
   */
  private static final long NEXT_EVENT_PAUSES = 5;

  private final HostClock clock;
  private final PauseDetector pauseDetector = new PauseDetector(POLL_MS);
  private final Set<RelayAttempt> attempts = new LinkedHashSet<>();
  private final UsualSilence usual = new UsualSilence();
  private long lastPollMs;
  private volatile int attemptsWithMemory;
  private volatile long longestSilenceMs;

  StallWatch(Vertx vertx, HostClock clock) {
    this.clock = clock;
    this.lastPollMs = clock.nowMs();
    vertx.setPeriodic(POLL_MS, id -> poll());
  }

  void add(RelayAttempt attempt) {
    attempts.add(attempt);
  }

  void remove(RelayAttempt attempt) {
    attempts.remove(attempt);
  }

  /** Records that the first event of an attempt arrives. */
  void answerBegins(RelayAttempt attempt) {
    if (attempts.contains(attempt)) {
      recordSilence(attempt);
    }
  }

  /** Records how long an engine was silent that begins to answer, or that is given up. */
  private void recordSilence(RelayAttempt attempt) {
    long limitMs = reachedLimitMs(attempt);
    if (attempt.isAtEngine() && limitMs < Long.MAX_VALUE && !attempt.hasFirstEvent()) {
      usual.record(attempt.endpointName(), attempt.progress().silentMs(), limitMs, clock.nowMs());
    }
  }

  /** Returns the number of attempts with memory reserved on other engines; thread-safe. */
  int attemptsWithMemory() {
    return attemptsWithMemory;
  }

  /**
   * Returns the longest time for which the engine of a watched attempt has given no sign of life,
   * in milliseconds; thread-safe.
   */
  long longestSilenceMs() {
    return longestSilenceMs;
  }

  /** Returns the detector of pauses of this host, which records each poll; thread-safe. */
  PauseDetector pauseDetector() {
    return pauseDetector;
  }

  private void poll() {
    long polledMs = clock.nowMs();
    pauseDetector.recordTick(polledMs);
    if (polledMs - lastPollMs > PAUSED_MS) {
      attempts.forEach(attempt -> attempt.progress().excuse());
    }
    lastPollMs = polledMs;
    if (attempts.isEmpty()) {
      attemptsWithMemory = 0;
      longestSilenceMs = 0;
      return;
    }
    attemptsWithMemory = (int) attempts.stream().filter(RelayAttempt::hasReservedMemory).count();
    longestSilenceMs =
        attempts.stream()
            .filter(attempt -> attempt.dependsOnEngine() && !attempt.paused())
            .mapToLong(RelayAttempt::silentMs)
            .max()
            .orElse(0);
    long nowMs = clock.nowMs();
    // Polling may complete attempts, which are then removed from the set.
    for (RelayAttempt attempt : List.copyOf(attempts)) {
      if (attempt.paused()) {
        // Its engine cannot send; a complete answer may wait to be read.
        continue;
      }
      attempt.path().checkIfSilent(attempt.silentMs());
      if (attempt.repeatable() && attempt.progress().silentMs() > limitMs(attempt, nowMs)) {
        stalled(attempt);
      } else {
        attempt.probeEngineIfSilent(usual.isLate(nowMs));
      }
    }
  }

  private void stalled(RelayAttempt attempt) {
    if (!attempt.path().isLost() && !attempt.path().isEndpointUnreached()) {
      recordSilence(attempt);
    }
    attempt.stalled();
  }

  private long limitMs(RelayAttempt attempt, long nowMs) {
    if (attempt.path().isLost()) {
      return 0;
    }
    if (attempt.path().isEndpointUnreached()) {
      return limitMs(attempt.latencyTargets(), attempt.hasFirstEvent());
    }
    long limitMs = reachedLimitMs(attempt);
    // An engine that answers no probe is gone, however late the others are.
    boolean isAlive = attempt.isAtEngine() && attempt.silentMs() < MIN_SILENCE_MS;
    return isAlive ? usual.extended(limitMs, nowMs) : limitMs;
  }

  /** Returns how long an endpoint that this host reaches may be silent, in milliseconds. */
  private static long reachedLimitMs(RelayAttempt attempt) {
    return Math.max(MIN_SILENCE_MS, limitMs(attempt.latencyTargets(), attempt.hasFirstEvent()));
  }

  /** Returns whether silence alone never ends an attempt before its first event. */
  static boolean isFirstEventUnlimited(LatencyTargets targets) {
    return limitMs(targets, false) == Long.MAX_VALUE;
  }

  /** Returns how long an attempt may be silent, in milliseconds. */
  static long limitMs(LatencyTargets targets, boolean hasFirstEvent) {
    if (hasFirstEvent) {
      return Math.max(MIN_NEXT_EVENT_MS, NEXT_EVENT_PAUSES * targets.pauseMs());
    }
    return targets.firstTokenMs() > MAX_WATCHED_TARGET_MS
        ? Long.MAX_VALUE
        : Math.max(MIN_FIRST_EVENT_MS, FIRST_EVENT_TARGETS * targets.firstTokenMs());
  }
}
