// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.fawndrum.coordination.AttemptEvent;
import org.fawndrum.coordination.Decision;
import org.fawndrum.coordination.DecisionKind;
import org.fawndrum.coordination.Refusal;
import org.fawndrum.errors.AnswerHeadDamagedException;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogDetails;
import org.fawndrum.internal.log.LogEvent;
import org.fawndrum.internal.log.LogRateLimiter;
import org.fawndrum.protocol.OperatorMessages.DecisionView;
import org.fawndrum.protocol.OperatorViews;
import org.fawndrum.state.Endpoint;
import org.fawndrum.transport.HostClock;
import org.fawndrum.transport.RequestMetrics;
import org.fawndrum.transport.proxy.AnswerFraming;
import org.fawndrum.transport.proxy.ConnectionUse;
import org.fawndrum.transport.proxy.EndpointAnswer;

/**
 * Logs a line for each decision about a request, with the versions and ages of the data that it was
 * based on, and updates the histograms. Failures and refusals have a separate rate limit, so that
 * many successes never suppress them. Non-blocking and thread-safe.
 */
final class DecisionLog implements Consumer<Decision> {
  /**
   * Maximum lines a second about failures and refusals; a host receives about ten requests a
   * second.
   */
  private static final int MAX_FAILURE_LINES_PER_SECOND = 200;

  /** Maximum lines a second about all other decisions. */
  private static final int MAX_SUCCESS_LINES_PER_SECOND = 100;

  private static final long SUPPRESSED_REPORT_INTERVAL_MS = 1_000;

  private final RequestMetrics metrics;
  private final Supplier<Basis> basis;
  private final HostClock clock;
  private final HostLog log;
  private final LogRateLimiter failureLimiter = new LogRateLimiter(MAX_FAILURE_LINES_PER_SECOND);
  private final LogRateLimiter successLimiter = new LogRateLimiter(MAX_SUCCESS_LINES_PER_SECOND);
  private long nextSuppressedReportMs;

  /**
   * The data that a decision was based on.
   *
   * @param revision the configuration in force
   * @param revisionAgeMs time since it was last confirmed as the newest, in milliseconds; -1 before
   *     the first one
   * @param listing the version of the list of endpoints
   * @param listingAgeMs the age of that list, in milliseconds; -1 before the first one
   * @param hostLateMs how late this host usually is with its own work, in milliseconds
   */
  record Basis(
      long revision, long revisionAgeMs, long listing, long listingAgeMs, long hostLateMs) {}

  /** Log details of a decision. */
  record DecisionDetails(DecisionView decision, Basis basis) implements LogDetails {
    @Override
    public String requestId() {
      return decision.request();
    }
  }

  /** Log details of a request that was refused before it reached the decision duty. */
  record RefusedDetails(String requestId, String refusal, long retryAfterMs, Basis basis)
      implements LogDetails {}

  /**
   * Log details of a completed stream.
   *
   * @param framing what marked its end at the endpoint
   * @param longestPauseMs the longest time between two events, in milliseconds
   * @param longestPauseAfter the number of events before that pause
   */
  record StreamDetails(
      String requestId,
      String endpoint,
      AnswerFraming framing,
      long events,
      long longestPauseMs,
      long longestPauseAfter)
      implements LogDetails {}

  /**
   * Log details of an answer whose connection was lost before its end.
   *
   * @param framing what would have marked its end; null if its head was damaged
   * @param cause how the connection was lost
   */
  record BrokenAnswerDetails(String requestId, String endpoint, AnswerFraming framing, String cause)
      implements LogDetails {}

  /**
   * Log details of an answer that may not be that of its attempt.
   *
   * @param status its status
   * @param kind what it was taken for
   * @param joined whether its head is joined of two
   * @param sentBefore whether its endpoint had the same request before
   * @param connection which use of which connection the attempt was
   */
  record AnswerOriginDetails(
      String requestId,
      String endpoint,
      int status,
      RelayCodec.Answer kind,
      boolean joined,
      boolean sentBefore,
      ConnectionView connection)
      implements LogDetails {}

  /**
   * Log details of the use of a connection.
   *
   * @param kept whether the connection may have carried another request before
   */
  record ConnectionView(int localPort, int number, boolean kept) {
    ConnectionView(ConnectionUse use) {
      this(use.localPort(), use.number(), use.isKept());
    }
  }

  /**
   * Log details of an answer that ended with its connection.
   *
   * @param whole whether it counts as whole
   * @param found whether its endpoint answered afterwards, or what happened instead
   */
  record EndCheckDetails(String requestId, String endpoint, boolean whole, String found)
      implements LogDetails {}

  /**
   * Log details of an attempt that was ended because its engine was silent.
   *
   * @param silentMs time since the last sign of life, in milliseconds
   */
  record SilentEngineDetails(String requestId, String endpoint, long silentMs, String why)
      implements LogDetails {}

  /**
   * Log details of an attempt that failed.
   *
   * @param event how it failed
   * @param sinceStartMs time since the attempt started, in milliseconds
   * @param openingMs how long its connection took to open, in milliseconds; -1 if it was not
   * @param silentMs how long it had made no progress, in milliseconds; -1 if it was not opened
   */
  record FailedAttemptDetails(
      String requestId,
      String endpoint,
      AttemptEvent event,
      long sinceStartMs,
      long openingMs,
      long silentMs,
      Basis basis)
      implements LogDetails {}

  /** Log details of helper memory that an attempt at an endpoint released. */
  record MemoryDetails(String requestId, String endpoint, PromptMemory.Usage usage)
      implements LogDetails {}

  /**
   * Log details of an endpoint that crashed during a request.
   *
   * @param start the start time that the endpoint reported; 0 if it reported none
   * @param fingerprint identifies the content of the request, independent of its id
   * @param answering whether a part of its answer had arrived
   * @param parts the parts of its prompt that other requests may share
   */
  record EndpointCrashDetails(
      String requestId,
      String endpoint,
      long start,
      String fingerprint,
      boolean answering,
      List<String> parts)
      implements LogDetails {}

  /**
   * Log details of a request that this host ended because its caller or its endpoint read slowly.
   *
   * @param reason who read slowly
   * @param unreadMs how long the caller left queued bytes unread, in milliseconds
   * @param slowlyRead whether the caller had read some after it had seemed to read nothing
   * @param endpointWaitsMs how long its endpoint could not send meanwhile, in milliseconds
   * @param leftMs how long the caller would still have waited, in milliseconds
   * @param queuedBytes the bytes queued for the caller
   * @param keptBytes the bytes of the request's body and of its incomplete answer
   * @param totalBytes the bytes held for all requests of this host
   */
  record SlowReaderDetails(
      String requestId,
      String reason,
      long unreadMs,
      boolean slowlyRead,
      long endpointWaitsMs,
      long leftMs,
      long queuedBytes,
      long keptBytes,
      long totalBytes)
      implements LogDetails {}

  DecisionLog(RequestMetrics metrics, Supplier<Basis> basis, HostClock clock, HostLog log) {
    this.metrics = metrics;
    this.basis = basis;
    this.clock = clock;
    this.log = log;
  }

  @Override
  public void accept(Decision decision) {
    metrics.onDecision(decision);
    if (decision.kind() == DecisionKind.ADMITTED) {
      // The next decision, which places the request or makes it wait, follows immediately and is
      // logged.
      return;
    }
    boolean failed =
        decision.kind() == DecisionKind.REFUSED || decision.kind() == DecisionKind.ATTEMPT_FAILED;
    if ((failed ? failureLimiter : successLimiter).tryAcquire(clock.nowMs())) {
      log.details(
          LogEvent.DECISION, new DecisionDetails(OperatorViews.decision(decision), basis.get()));
    }
    logSuppressed();
  }

  /** Logs a request that was refused before it reached the decision duty. */
  void requestRefused(String requestId, Refusal refusal) {
    if (failureLimiter.tryAcquire(clock.nowMs())) {
      log.details(
          LogEvent.REFUSED_BEFORE_DECISION,
          new RefusedDetails(
              requestId, refusal.kind().code(), refusal.retryAfterMs(), basis.get()));
    }
  }

  /** Logs a completed stream. */
  void streamCompleted(String requestId, StreamPace pace, String endpoint, AnswerFraming framing) {
    if (successLimiter.tryAcquire(clock.nowMs())) {
      log.details(
          LogEvent.STREAM_COMPLETED,
          new StreamDetails(
              requestId,
              endpoint,
              framing,
              pace.events(),
              pace.longestPauseMs(),
              pace.longestPauseAfter()));
    }
  }

  /** Counts an answer that begins, by what will mark its end. */
  void answerBegun(AnswerFraming framing) {
    if (framing == AnswerFraming.CONNECTION) {
      metrics.onAnswerWithoutFraming();
    }
  }

  /**
   * Logs an answer whose connection was lost before its end, or whose head was damaged.
   *
   * @param head its head; null if it has none that can be read
   */
  void answerBrokenOff(RelayCall call, Endpoint endpoint, EndpointAnswer head, Throwable cause) {
    if (head == null && !(cause instanceof AnswerHeadDamagedException)) {
      // The connection was lost before an answer; the failed attempt has a line of its own.
      return;
    }
    metrics.onAnswerBrokenOff();
    if (failureLimiter.tryAcquire(clock.nowMs())) {
      log.details(
          LogEvent.ANSWER_BROKEN_OFF,
          new BrokenAnswerDetails(
              call.request().requestId(),
              endpoint.name(),
              head == null ? null : head.framing(),
              String.valueOf(cause)));
    }
  }

  /**
   * Logs an answer that may not be that of its attempt: it is not accepted, its head is joined of
   * two, or the endpoint had the same request before.
   */
  void doubtfulAnswer(AnswerOriginDetails details) {
    if (failureLimiter.tryAcquire(clock.nowMs())) {
      log.details(LogEvent.ANSWER_DOUBTFUL, details);
    }
  }

  /** Returns what logs the check of an answer that ended with its connection. */
  BiConsumer<String, AttemptPath.EndCheck> ends(RelayCall call) {
    return (endpoint, check) -> {
      if ((check.whole() ? successLimiter : failureLimiter).tryAcquire(clock.nowMs())) {
        log.details(
            LogEvent.ANSWER_END_CHECKED,
            new EndCheckDetails(
                call.request().requestId(), endpoint, check.whole(), check.found()));
      }
    };
  }

  /**
   * Logs an attempt that was ended because its engine gave no sign of working on it.
   *
   * @param why the failure of the last probe
   */
  void engineSilent(String requestId, String endpoint, long silentMs, Throwable why) {
    if (failureLimiter.tryAcquire(clock.nowMs())) {
      log.details(
          LogEvent.ENGINE_SILENT,
          new SilentEngineDetails(requestId, endpoint, silentMs, String.valueOf(why.getMessage())));
    }
  }

  /** Logs how an attempt failed. */
  void attemptFailed(
      RelayCall call, String endpoint, AttemptEvent event, AttemptProgress progress) {
    if (failureLimiter.tryAcquire(clock.nowMs())) {
      log.details(
          LogEvent.FAILED_ATTEMPT,
          new FailedAttemptDetails(
              call.request().requestId(),
              endpoint,
              event,
              progress.sinceStartMs(),
              progress.openingMs(),
              progress.silentMs(),
              basis.get()));
    }
  }

  /** Logs a crash of an endpoint that had a request. */
  void endpointCrashed(RelayCall call, Endpoint endpoint, boolean answering) {
    metrics.onEndpointCrash();
    if (failureLimiter.tryAcquire(clock.nowMs())) {
      String fingerprint = call.content().fingerprint().map(Object::toString).orElse("");
      log.details(
          LogEvent.ENDPOINT_CRASHED,
          new EndpointCrashDetails(
              call.request().requestId(),
              endpoint.name(),
              endpoint.incarnation(),
              fingerprint,
              answering,
              call.content().parts().stream().map(Object::toString).toList()));
    }
  }

  /** Logs a request that this host ended because its caller or its endpoint read slowly. */
  void slowReader(SlowReaderDetails details) {
    if (failureLimiter.tryAcquire(clock.nowMs())) {
      log.details(LogEvent.SLOW_READER, details);
    }
  }

  /** Logs that an attempt released its memory on other engines. */
  void memoryReleased(String requestId, String endpoint, PromptMemory.Usage usage) {
    if (successLimiter.tryAcquire(clock.nowMs())) {
      log.details(LogEvent.MEMORY_RELEASED, new MemoryDetails(requestId, endpoint, usage));
    }
  }

  private synchronized void logSuppressed() {
    long nowMs = clock.nowMs();
    if (nowMs < nextSuppressedReportMs) {
      return;
    }
    nextSuppressedReportMs = nowMs + SUPPRESSED_REPORT_INTERVAL_MS;
    long suppressedFailures = failureLimiter.takeSuppressed();
    long suppressedSuccesses = successLimiter.takeSuppressed();
    if (suppressedFailures + suppressedSuccesses > 0) {
      log.event(
          LogEvent.LINES_SUPPRESSED,
          Long.toString(suppressedFailures),
          Long.toString(suppressedSuccesses));
    }
  }
}
