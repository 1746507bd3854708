// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;
import org.fawndrum.coordination.HostLateness;
import org.fawndrum.coordination.Ran;
import org.fawndrum.coordination.Refusal;
import org.fawndrum.coordination.RefusalKind;
import org.fawndrum.errors.RefusedException;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;
import org.fawndrum.transport.HostClock;

/**
 * Measures how late this host is, by steps that go from the event loop through the decision duty
 * and back as a request does, and refuses requests that it can't finish for that reason. Confined
 * to one event loop; the methods that return figures are thread-safe.
 */
final class LatenessWatch {
  /** Lateness from which on it is logged, in milliseconds: callers notice it. */
  private static final long LOGGED_MS = 250;

  private final HostLateness lateness = new HostLateness();
  private final Timer timer;
  private final Predicate<RelayEvent> decisions;
  private final HostClock clock;
  private final HostLog log;
  private final AtomicLong refused = new AtomicLong();
  private boolean late;

  /**
   * Creates a watch that has not started.
   *
   * @param timer runs steps on the event loop
   * @param decisions queues an event for the decision duty, and returns whether it was accepted
   */
  LatenessWatch(Timer timer, Predicate<RelayEvent> decisions, HostClock clock, HostLog log) {
    this.timer = timer;
    this.decisions = decisions;
    this.clock = clock;
    this.log = log;
  }

  /** Starts to measure; {@code loop} runs steps on the event loop. */
  void start(Executor loop) {
    long dueMs = clock.nowMs() + HostLateness.ROUND_INTERVAL_MS;
    timer.runAfter(
        HostLateness.ROUND_INTERVAL_MS,
        () -> {
          Runnable passed = () -> loop.execute(() -> roundPassed(dueMs, loop));
          if (!decisions.test(new RelayEvent.RoundPassing(passed))) {
            start(loop);
          }
        });
  }

  private void roundPassed(long dueMs, Executor loop) {
    lateness.recordRound(dueMs, clock.nowMs());
    boolean isLate = usualMs() >= LOGGED_MS;
    if (isLate != late) {
      late = isLate;
      log.event(late ? LogEvent.HOST_LATE : LogEvent.HOST_IN_TIME, usualMs());
    }
    start(loop);
  }

  /** Refuses a request, which has not run, if this host can't answer it by a time. */
  void checkCanFinish(String requestId, long dueMs) {
    if (!lateness.canFinish(dueMs - clock.nowMs())) {
      refused.incrementAndGet();
      long retryMs = Math.max(RelayIntake.OTHER_HOST_RETRY_MS, usualMs());
      throw new RefusedException(requestId, Refusal.of(RefusalKind.HOST_LATE, Ran.NO, retryMs));
    }
  }

  /** Returns how late this host usually is now, in milliseconds. */
  long usualMs() {
    return lateness.usualMs();
  }

  /** Returns how much longer this host is to wait for others than in time, in milliseconds. */
  long allowanceMs() {
    return lateness.allowanceMs();
  }

  /** Returns the number of requests that were refused because this host is late. */
  long refusedCount() {
    return refused.get();
  }
}
