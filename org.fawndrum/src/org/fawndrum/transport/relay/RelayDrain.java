// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.vertx.core.Vertx;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.fawndrum.coordination.PauseDetector;
import org.fawndrum.coordination.ShutdownWindow;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;
import org.fawndrum.transport.HostClock;
import org.fawndrum.transport.proxy.ProxyServer;

/**
 * Drains a host that relays requests. Requests in progress complete as far as the grace period
 * permits; new requests are accepted only if they certainly complete in time; and requests that are
 * still open at the end receive a final answer before the process exits. Thread-safe.
 */
final class RelayDrain {
  /**
   * Time from the stop signal after which the load balancer opens no new connections, in
   * milliseconds.
   */
  private static final long BALANCER_UPDATE_MS = 2_500;

  /** Interval of the checks for remaining connections and requests, in milliseconds. */
  private static final long POLL_MS = 100;

  /** Interval of the checks for pending answers, in milliseconds. */
  private static final long ANSWERS_POLL_MS = 5;

  /**
   * Time allowed for sending the last bytes to callers and the last log lines, in milliseconds:
   * they are passed to the operating system within a few.
   */
  private static final long FLUSH_MS = 50;

  /**
   * Time allowed for answering the requests that were read last, in milliseconds: all answers are
   * refusals, which are decided within a few.
   */
  private static final long LAST_ANSWERS_MS = 100;

  private final Vertx vertx;
  private final RelayServer callers;
  private final ProxyServer proxy;
  private final RelayDuty decisions;
  private final Consumer<RelayEvent> events;
  private final Supplier<RelayBounds> bounds;
  private final PauseDetector pauseDetector;
  private final HostClock clock;
  private final HostLog log;
  private final CompletableFuture<Void> completion = new CompletableFuture<>();
  private volatile boolean started;
  private volatile boolean finalAnswersQueued;

  /** Time of the last check, by the monotonic clock, and the maximum delay of a check so far. */
  private long polledNanos;

  private long maxDelayMs;

  /**
   * Creates a drain that has not started.
   *
   * @param proxy sends requests of other hosts
   * @param events delivers events to the decision duty without losing any
   * @param pauseDetector determines since when the stop signal may have been pending
   */
  RelayDrain(
      Vertx vertx,
      RelayServer callers,
      ProxyServer proxy,
      RelayDuty decisions,
      Consumer<RelayEvent> events,
      Supplier<RelayBounds> bounds,
      PauseDetector pauseDetector,
      HostClock clock,
      HostLog log) {
    this.vertx = vertx;
    this.callers = callers;
    this.proxy = proxy;
    this.decisions = decisions;
    this.events = events;
    this.bounds = bounds;
    this.pauseDetector = pauseDetector;
    this.clock = clock;
    this.log = log;
  }

  /** Returns whether the drain has started. */
  boolean started() {
    return started;
  }

  /**
   * Starts the drain. The future completes when the process may exit. Has no effect when called
   * again.
   */
  CompletableFuture<Void> start() {
    if (started) {
      return completion;
    }
    started = true;
    long startedMs = clock.nowMs();
    long signaledMs = pauseDetector.earliestArrivalMs(startedMs);
    log.event(
        LogEvent.DRAIN_STARTED, Integer.toString(decisions.openRequests()), startedMs - signaledMs);
    ShutdownWindow window = ShutdownWindow.from(signaledMs, startedMs, bounds.get().graceMs());
    events.accept(new RelayEvent.StopSignaled(window));
    vertx.runOnContext(v -> callers.startDraining());
    proxy.drain();
    polledNanos = System.nanoTime();
    vertx.setPeriodic(POLL_MS, id -> poll(id, startedMs, window));
    return completion;
  }

  private void poll(long timer, long startedMs, ShutdownWindow window) {
    recordDelay(System.nanoTime());
    long nowMs = clock.nowMs();
    boolean expired = nowMs >= window.shutdownMs(maxDelayMs);
    if (!expired && nowMs - startedMs < BALANCER_UPDATE_MS) {
      return;
    }
    callers.closeIdle();
    if (expired || openRequests() == 0 && callers.connections() == 0) {
      vertx.cancelTimer(timer);
      answerOpenRequests(window);
    }
  }

  /** Returns the number of open requests, those of other hosts included. */
  private int openRequests() {
    return decisions.openRequests() + proxy.openRequests();
  }

  /** Records the delay of a check on the event loop; answers are delayed as much. */
  private void recordDelay(long nanos) {
    long betweenMs = TimeUnit.NANOSECONDS.toMillis(nanos - polledNanos);
    maxDelayMs = Math.max(maxDelayMs, betweenMs - POLL_MS);
    polledNanos = nanos;
  }

  /**
   * Answers all open requests, because the exit of the process would cut them off without an
   * answer, and waits for these answers, which may take long on a busy host. The completion report
   * of the decision duty is handled on the event loop, after the answers that were queued there
   * before it.
   */
  private void answerOpenRequests(ShutdownWindow window) {
    events.accept(
        new RelayEvent.DrainEnding(() -> vertx.runOnContext(v -> finalAnswersQueued = true)));
    vertx.setPeriodic(ANSWERS_POLL_MS, id -> pollAnswers(id, window));
  }

  private void pollAnswers(long timer, ShutdownWindow window) {
    boolean answered = finalAnswersQueued && callers.busyConnections() == 0;
    if (answered || clock.nowMs() >= window.exitMs() - FLUSH_MS) {
      vertx.cancelTimer(timer);
      log.event(LogEvent.DRAIN_COMPLETED, summary());
      vertx.setTimer(FLUSH_MS, id -> complete(window));
    }
  }

  /**
   * Completes the drain. A host that stops early, because no requests remained, first checks for
   * callers that have connected meanwhile and would be cut off. A host whose time is over stops
   * reading, and exits when everything that it has read is answered.
   */
  private void complete(ShutdownWindow window) {
    callers.closeIdle();
    long nowMs = clock.nowMs();
    if (callers.connections() == 0 || nowMs >= window.exitMs()) {
      completion.complete(null);
    } else if (nowMs < window.shutdownMs(maxDelayMs)) {
      vertx.setTimer(FLUSH_MS, id -> complete(window));
    } else {
      callers.stopReading();
      long untilMs = Math.min(nowMs + LAST_ANSWERS_MS + maxDelayMs, window.exitMs() - FLUSH_MS);
      vertx.setPeriodic(ANSWERS_POLL_MS, id -> pollLastAnswers(id, untilMs));
    }
  }

  /**
   * Connections that sent only part of a request do not delay the exit: such requests never
   * complete.
   */
  private void pollLastAnswers(long timer, long untilMs) {
    if (callers.busyConnections() == 0 || clock.nowMs() >= untilMs) {
      vertx.cancelTimer(timer);
      vertx.setTimer(FLUSH_MS, id -> completion.complete(null));
    }
  }

  private String summary() {
    String decisionSummary =
        decisions.refusedRequests()
            + " requests refused, "
            + decisions.abortedRequests()
            + " aborted, maximum delay "
            + maxDelayMs
            + " ms";
    int unanswered = callers.busyConnections();
    return unanswered == 0
        ? decisionSummary
        : decisionSummary + ", " + unanswered + " cut off without an answer";
  }
}
