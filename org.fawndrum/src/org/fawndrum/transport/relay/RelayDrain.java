// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.vertx.core.Vertx;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.fawndrum.coordination.AwakeTimes;
import org.fawndrum.coordination.StopWindow;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;
import org.fawndrum.transport.HostClock;

/**
 * The end of a host that relays requests: what is in progress ends, as far as the grace period
 * allows; what is new is taken as far as it surely ends in time; and what is still open in the end
 * gets a final answer before the process goes. Safe for all threads.
 */
final class RelayDrain {
  /** After this the balancer sends no new connections, in milliseconds from the order to stop. */
  private static final long BALANCER_MS = 2_500;

  /** How often the host looks whether anything is left, in milliseconds. */
  private static final long LOOK_MS = 100;

  /** How often the host looks whether its last answers are given, in milliseconds. */
  private static final long ANSWERS_LOOK_MS = 5;

  /**
   * How long the last bytes to callers and the last lines of the log have to leave, in
   * milliseconds: they are handed to the system within a few.
   */
  private static final long LEAVE_MS = 50;

  /**
   * How long requests that were read last have for their answers, in milliseconds: all of them are
   * refusals that are decided within a few.
   */
  private static final long LAST_ANSWERS_MS = 100;

  private final Vertx vertx;
  private final RelayServer callers;
  private final RelayDuty decisions;
  private final Consumer<RelayEvent> orders;
  private final Supplier<RelayBounds> bounds;
  private final AwakeTimes awake;
  private final HostClock clock;
  private final HostLog log;
  private final CompletableFuture<Void> done = new CompletableFuture<>();
  private volatile boolean begun;
  private volatile boolean decided;

  /** When the host looked last, by the steady clock, and how late it came at worst. */
  private long lookedNanos;

  private long lateMs;

  /**
   * Makes the end of a host, not begun.
   *
   * @param orders hands events to the decisions without losing any
   * @param awake when the host last was awake
   */
  RelayDrain(
      Vertx vertx,
      RelayServer callers,
      RelayDuty decisions,
      Consumer<RelayEvent> orders,
      Supplier<RelayBounds> bounds,
      AwakeTimes awake,
      HostClock clock,
      HostLog log) {
    this.vertx = vertx;
    this.callers = callers;
    this.decisions = decisions;
    this.orders = orders;
    this.bounds = bounds;
    this.awake = awake;
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
    long orderedMs = awake.earliestMs(begunMs);
    log.event(LogEvent.DRAIN_BEGAN, Integer.toString(decisions.open()), begunMs - orderedMs);
    StopWindow window = StopWindow.from(orderedMs, begunMs, bounds.get().graceMs());
    orders.accept(new RelayEvent.StopOrdered(window));
    vertx.runOnContext(v -> callers.stop());
    lookedNanos = System.nanoTime();
    vertx.setPeriodic(LOOK_MS, id -> look(id, begunMs, window));
    return done;
  }

  private void look(long timer, long begunMs, StopWindow window) {
    cameAt(System.nanoTime());
    long nowMs = clock.nowMs();
    boolean last = nowMs >= window.endMs(lateMs);
    if (!last && nowMs - begunMs < BALANCER_MS) {
      return;
    }
    callers.closeIdle();
    if (last || decisions.open() == 0 && callers.connections() == 0) {
      vertx.cancelTimer(timer);
      end(window);
    }
  }

  /** Takes note of how late the event loop comes to a look: so late come answers too. */
  private void cameAt(long nanos) {
    long betweenMs = TimeUnit.NANOSECONDS.toMillis(nanos - lookedNanos);
    lateMs = Math.max(lateMs, betweenMs - LOOK_MS);
    lookedNanos = nanos;
  }

  /**
   * Has what is open answered, because the end of the process would cut it without an answer, and
   * waits for that: a busy host may take long until it comes to it. The decisions' report is taken
   * on the event loop, behind the answers that were ordered before it.
   */
  private void end(StopWindow window) {
    orders.accept(new RelayEvent.Ending(() -> vertx.runOnContext(v -> decided = true)));
    vertx.setPeriodic(ANSWERS_LOOK_MS, id -> lookForAnswers(id, window));
  }

  private void lookForAnswers(long timer, StopWindow window) {
    boolean answered = decided && callers.busy() == 0;
    if (answered || clock.nowMs() >= window.goneMs() - LEAVE_MS) {
      vertx.cancelTimer(timer);
      log.event(LogEvent.DRAIN_ENDED, account());
      vertx.setTimer(LEAVE_MS, id -> leave(window));
    }
  }

  /**
   * Ends. A host that ends early, because nothing was left, first looks whether somebody connected
   * meanwhile who would be cut. One whose time is over reads nothing more, and ends when whatever
   * it read until then has its answer.
   */
  private void leave(StopWindow window) {
    callers.closeIdle();
    long nowMs = clock.nowMs();
    if (callers.connections() == 0 || nowMs >= window.goneMs()) {
      done.complete(null);
    } else if (nowMs < window.endMs(lateMs)) {
      vertx.setTimer(LEAVE_MS, id -> leave(window));
    } else {
      callers.stopReading();
      long untilMs = Math.min(nowMs + LAST_ANSWERS_MS + lateMs, window.goneMs() - LEAVE_MS);
      vertx.setPeriodic(ANSWERS_LOOK_MS, id -> lookForLastAnswers(id, untilMs));
    }
  }

  /** What was read in part only is never whole: it is no reason to stay for longer. */
  private void lookForLastAnswers(long timer, long untilMs) {
    if (callers.busy() == 0 || clock.nowMs() >= untilMs) {
      vertx.cancelTimer(timer);
      vertx.setTimer(LEAVE_MS, id -> done.complete(null));
    }
  }

  private String account() {
    String decisionsSay =
        decisions.turnedAway()
            + " requests turned away, "
            + decisions.givenUp()
            + " given up, at most "
            + lateMs
            + " ms late";
    int cut = callers.busy();
    return cut == 0 ? decisionsSay : decisionsSay + ", " + cut + " cut without an answer";
  }
}
