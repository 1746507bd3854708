// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.concurrent.CompletionException;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.fawndrum.errors.RecordsExpiredException;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;
import org.fawndrum.protocol.KeyedLog;
import org.fawndrum.protocol.KeyedPage;
import org.fawndrum.protocol.StorePosition;
import org.fawndrum.transport.HostClock;

/**
 * Follows one keyed log from its newest records on, if its schedule requires it: records that
 * another daemon sent need not be read again. While the platform is unavailable, queries are
 * retried at increasing intervals. If records expired before they were read or are unreadable, the
 * store was restored from a copy, or this host has not read for long, the newest records are read.
 * Only a page that reaches the end of the log confirms anything. Confined to one event loop.
 */
final class TopicFollower {
  /** Delay before the first retry, in milliseconds; doubled with each retry. */
  private static final long FIRST_RETRY_MS = 100;

  /**
   * Age of the last confirmation, in milliseconds, above which a query does not wait for new
   * records.
   */
  private static final long MAX_UNCONFIRMED_MS = 1_000;

  /** Maximum interval of checks whether the log is to be read, in milliseconds. */
  private static final long MAX_CHECK_INTERVAL_MS = 500;

  /**
   * Time without a read after which the newest records are read rather than all since, in
   * milliseconds.
   */
  private static final long MAX_POSITION_AGE_MS = 10_000;

  /** How much too early a wait may end, in milliseconds: timers and clocks are not exact. */
  private static final long WAIT_MARGIN_MS = 50;

  /**
   * How long an answer is still awaited, as a multiple of the time after which it is overdue. A
   * store that everyone asks at the same time may take longer than that for each answer, and
   * answers that nobody awaits would never end this.
   */
  private static final long PATIENCE = 4;

  /** How often a query is sent again because its answer is overdue, until it is given up. */
  private static final int MAX_RESENT = 3;

  /** Delay before the newest records are read again, in milliseconds. */
  private static final long REREAD_DELAY_MS = 1;

  private final Timer timer;
  private final KeyedLog log;
  private final KeyedLog.Topic topic;
  private final Supplier<Timing> timing;
  private final ReadSchedule schedule;
  private final Reader reader;
  private final HostClock clock;
  private final HostLog hostLog;
  private StorePosition next = StorePosition.NONE;
  private long readMs = HostClock.NEVER_MS;
  private long confirmedMs = HostClock.NEVER_MS;
  private long retryMs = FIRST_RETRY_MS;
  private boolean unavailable;

  /**
   * The timing of queries to a log.
   *
   * @param waitMs how long one query waits for a record, in milliseconds
   * @param pauseMs the pause after an answer, in milliseconds
   * @param repeatMs after how long without an answer, in addition to the wait, a query is repeated
   *     over a new connection, in milliseconds
   * @param answerMs after how long an answer, in addition to the wait and the time until the query
   *     was repeated, is overdue, in milliseconds; then the query is sent again
   * @param maxRetryMs the longest pause after a failure, in milliseconds
   */
  record Timing(long waitMs, long pauseMs, long repeatMs, long answerMs, long maxRetryMs) {}

  /** A query, and its repetitions if there are any; the first answer counts. */
  private static final class Query {
    final boolean snapshot;
    final long waitMs;
    int pending;
    int resent;
    boolean ended;

    Query(boolean snapshot, long waitMs) {
      this.snapshot = snapshot;
      this.waitMs = snapshot ? 0 : waitMs;
    }
  }

  /** Decides when this host reads the log itself. */
  interface ReadSchedule {
    /**
     * Returns the delay until the log is to be read, in milliseconds, as far as is known now; 0 for
     * now.
     */
    long delayMs();
  }

  /** Receives the records. */
  interface Reader {
    /** Returns the end of the log as known here, including updates from other daemons. */
    StorePosition knownEnd();

    /** Called when the platform is available again; the content of the log is read next. */
    void storeAvailable();

    /**
     * Receives the newest record of every key; other keys no longer exist.
     *
     * @param queriedMs when the query was sent, by the host's clock
     */
    void applySnapshot(KeyedPage page, long queriedMs);

    /**
     * Receives the records since the last read.
     *
     * @param confirmedMs a time, by the host's clock, at which the log contained no other records;
     *     {@link HostClock#NEVER_MS} if more of them are to be read
     */
    void applyChanges(KeyedPage page, long confirmedMs);
  }

  TopicFollower(
      Timer timer,
      KeyedLog log,
      KeyedLog.Topic topic,
      Supplier<Timing> timing,
      ReadSchedule schedule,
      Reader reader,
      HostClock clock,
      HostLog hostLog) {
    this.timer = timer;
    this.log = log;
    this.topic = topic;
    this.timing = timing;
    this.schedule = schedule;
    this.reader = reader;
    this.clock = clock;
    this.hostLog = hostLog;
  }

  /** Sends the first query; each query is followed by the next. */
  void start() {
    query();
  }

  /** Returns whether the last query failed. */
  boolean isUnavailable() {
    return unavailable;
  }

  private void query() {
    long delayMs = schedule.delayMs();
    if (delayMs > 0) {
      timer.runAfter(Math.min(MAX_CHECK_INTERVAL_MS, delayMs), this::query);
      return;
    }
    next = next.isKnown() ? next.max(reader.knownEnd()) : next;
    long nowMs = clock.nowMs();
    long waitMs = nowMs - confirmedMs > MAX_UNCONFIRMED_MS ? 0 : timing.get().waitMs();
    Query query = new Query(!next.isKnown() || isPositionOld(nowMs), waitMs);
    send(query, waitMs, false);
    awaitAnswer(
        query,
        () -> query.waitMs + timing.get().repeatMs(),
        () -> {
          repeat(query);
          awaitOverdue(query);
        });
  }

  /**
   * Runs a step if a query gets no answer for a time. Whether it has passed is found out in steps,
   * because a host that was late as it sent the query may be in time again.
   */
  private void awaitAnswer(Query query, LongSupplier timeMs, Runnable step) {
    awaitAnswer(query, timeMs, step, 0);
  }

  private void awaitAnswer(Query query, LongSupplier timeMs, Runnable step, long waitedMs) {
    if (query.ended) {
      return;
    }
    long leftMs = timeMs.getAsLong() - waitedMs;
    if (leftMs <= 0) {
      step.run();
      return;
    }
    long stepMs = Math.min(MAX_CHECK_INTERVAL_MS, leftMs);
    timer.runAfter(stepMs, () -> awaitAnswer(query, timeMs, step, waitedMs + stepMs));
  }

  private void awaitOverdue(Query query) {
    awaitAnswer(query, () -> timing.get().answerMs(), () -> overdue(query));
  }

  /** Sends a query again whose answer is overdue; the answers to it before still count. */
  private void overdue(Query query) {
    reportUnavailable("no answer for a long time: " + topic);
    if (query.resent++ == MAX_RESENT) {
      query.ended = true;
      queryAfter(takeRetryMs());
      return;
    }
    timer.runAfter(
        takeRetryMs(),
        () -> {
          repeat(query);
          awaitOverdue(query);
        });
  }

  /**
   * Repeats a query that got no answer, over a new connection: the kept one may be dead, and the
   * time until it is given up is more than a host has that reads the store itself.
   */
  private void repeat(Query query) {
    if (!query.ended) {
      send(query, 0, true);
    }
  }

  private void send(Query query, long waitMs, boolean newConnection) {
    long queriedMs = clock.nowMs();
    KeyedLog.Call call = new KeyedLog.Call(PATIENCE * timing.get().answerMs(), newConnection);
    query.pending++;
    (query.snapshot ? log.newest(topic, call) : log.read(topic, next.offset(), waitMs, call))
        .whenComplete(
            (page, failure) -> {
              query.pending--;
              boolean last = failure == null || query.pending == 0;
              if (query.ended || !last) {
                return;
              }
              query.ended = true;
              if (failure == null) {
                pageReceived(page, query.snapshot, queriedMs, waitMs);
              } else {
                queryFailed(failure);
              }
            });
  }

  /** Returns whether many records may have followed the position; peers may provide a later one. */
  private boolean isPositionOld(long nowMs) {
    return !reader.knownEnd().isKnown() && nowMs - readMs > MAX_POSITION_AGE_MS;
  }

  private void pageReceived(KeyedPage page, boolean snapshot, long queriedMs, long waitMs) {
    reportAvailable();
    retryMs = FIRST_RETRY_MS;
    if (!snapshot && page.epoch() > next.epoch()) {
      // Offsets of different epochs are not comparable, so the records before this page are
      // unknown.
      hostLog.event(LogEvent.STORE_RESTORED, topic, next.epoch(), page.epoch());
      next = StorePosition.NONE;
      queryAfter(REREAD_DELAY_MS);
      return;
    }
    if (next.isAfter(page.endPosition())) {
      // The page is older than the state known here. Querying again at once might return the same
      // page without any pause.
      queryAfter(Math.max(FIRST_RETRY_MS, timing.get().pauseMs()));
      return;
    }
    readMs = queriedMs;
    if (!page.reachesEnd()) {
      readOn(page);
      return;
    }
    next = page.endPosition();
    confirmedMs = snapshot ? queriedMs : confirmedMs(page, queriedMs, waitMs);
    if (snapshot) {
      reader.applySnapshot(page, queriedMs);
    } else {
      reader.applyChanges(page, confirmedMs);
    }
    queryAfter(timing.get().pauseMs());
  }

  /** Reads what follows a page; a later record may take back what the page contains. */
  private void readOn(KeyedPage page) {
    if (page.endPosition().isAfter(next)) {
      next = page.endPosition();
      reader.applyChanges(page, HostClock.NEVER_MS);
      queryAfter(REREAD_DELAY_MS);
      return;
    }
    hostLog.event(LogEvent.STORE_PAGE_UNREADABLE, topic, Long.toString(next.offset()));
    next = StorePosition.NONE;
    queryAfter(FIRST_RETRY_MS);
  }

  private void reportAvailable() {
    if (unavailable) {
      unavailable = false;
      hostLog.event(LogEvent.PLATFORM_AVAILABLE);
      reader.storeAvailable();
    }
  }

  /**
   * Returns the time up to which an answer confirms the content of the log. An answer without
   * records arrives only after the full wait, and so confirms that there were none up to then.
   */
  private long confirmedMs(KeyedPage page, long queriedMs, long waitMs) {
    boolean fullWait = page.records().isEmpty() && clock.nowMs() - queriedMs >= waitMs;
    return fullWait ? queriedMs + Math.max(0, waitMs - WAIT_MARGIN_MS) : queriedMs;
  }

  private void queryFailed(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    if (cause instanceof RecordsExpiredException) {
      // The missed records have expired; the newest record of every key contains all that is
      // needed.
      hostLog.event(LogEvent.STORE_RECORDS_EXPIRED, topic, Long.toString(next.offset()));
      next = StorePosition.NONE;
      queryAfter(REREAD_DELAY_MS);
      return;
    }
    reportUnavailable(String.valueOf(cause));
    queryAfter(takeRetryMs());
  }

  private void reportUnavailable(String cause) {
    if (!unavailable) {
      unavailable = true;
      hostLog.event(LogEvent.PLATFORM_UNAVAILABLE, cause);
    }
  }

  /** Returns the delay before the next retry, in milliseconds. */
  private long takeRetryMs() {
    long delayMs = retryMs;
    retryMs = Math.min(timing.get().maxRetryMs(), retryMs * 2);
    return delayMs;
  }

  private void queryAfter(long afterMs) {
    if (afterMs <= 0) {
      query();
    } else {
      timer.runAfter(afterMs, this::query);
    }
  }
}
