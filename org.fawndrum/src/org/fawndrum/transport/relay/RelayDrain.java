// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.vertx.core.Vertx;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;
import org.fawndrum.transport.HostClock;

/**
 * The end of a host that relays requests: what is in progress ends, as far as the grace period
 * allows, and nothing new comes in once the balancer knows. Safe for all threads.
 */
final class RelayDrain {
  /** After this the balancer sends no new connections, in milliseconds from the order to stop. */
  private static final long BALANCER_MS = 2_500;

  /** How long before the end of the grace period the host ends by itself, in milliseconds. */
  private static final long BEFORE_KILL_MS = 400;

  /** How often the host looks whether anything is left, in milliseconds. */
  private static final long LOOK_MS = 100;

  private final Vertx vertx;
  private final RelayServer callers;
  private final RelayDuty decisions;
  private final Supplier<RelayBounds> bounds;
  private final HostClock clock;
  private final HostLog log;
  private final CompletableFuture<Void> done = new CompletableFuture<>();
  private volatile boolean begun;

  RelayDrain(
      Vertx vertx,
      RelayServer callers,
      RelayDuty decisions,
      Supplier<RelayBounds> bounds,
      HostClock clock,
      HostLog log) {
    this.vertx = vertx;
    this.callers = callers;
    this.decisions = decisions;
    this.bounds = bounds;
    this.clock = clock;
    this.log = log;
  }

  /** Tells whether the order to stop came. */
  boolean begun() {
    return begun;
  }

  /** Begins; the future completes when the process may end. Another order changes nothing. */
  CompletableFuture<Void> begin() {
    if (begun) {
      return done;
    }
    begun = true;
    long begunMs = clock.nowMs();
    log.event(LogEvent.DRAIN_BEGAN, Integer.toString(decisions.open()));
    vertx.runOnContext(v -> callers.stop());
    vertx.setPeriodic(LOOK_MS, id -> look(id, begunMs));
    return done;
  }

  private void look(long timer, long begunMs) {
    long sinceMs = clock.nowMs() - begunMs;
    if (sinceMs < BALANCER_MS) {
      return;
    }
    callers.closeIdle();
    boolean last = sinceMs > bounds.get().graceMs() - BEFORE_KILL_MS;
    if (last || decisions.open() == 0 && callers.connections() == 0) {
      vertx.cancelTimer(timer);
      log.event(LogEvent.DRAIN_ENDED);
      done.complete(null);
    }
  }
}
