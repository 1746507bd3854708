// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.vertx.core.Vertx;
import java.util.concurrent.CompletionException;
import org.fawndrum.errors.RecordsExpiredException;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;
import org.fawndrum.protocol.KeyedLog;
import org.fawndrum.protocol.KeyedPage;
import org.fawndrum.protocol.StorePosition;
import org.fawndrum.transport.HostClock;

/**
 * Follows one keyed log from its newest records on, whenever that is wanted: what another daemon
 * tells need not be read again. While the platform does not answer it is asked again and again, at
 * growing intervals; when records are gone before they were read, or the store has gone back to a
 * copy of itself, the newest are read again. Confined to one event loop.
 */
final class TopicFollower {
  /** The pause before the first retry, in milliseconds; doubled with each. */
  private static final long FIRST_RETRY_MS = 100;

  /** When the last proof is older than this, a question does not wait, in milliseconds. */
  private static final long LONGEST_UNPROVED_MS = 1_000;

  /** After how long it is looked again whether the log is to be read, in milliseconds. */
  private static final long LONGEST_LOOK_MS = 500;

  /** By how much a wait may end early, in milliseconds: timers and clocks are not exact. */
  private static final long WAIT_MARGIN_MS = 50;

  /** The pause before the newest records are read again, in milliseconds. */
  private static final long NEWEST_AGAIN_MS = 1;

  private final Vertx vertx;
  private final KeyedLog log;
  private final KeyedLog.Topic topic;
  private final Pace pace;
  private final Need need;
  private final Reader reader;
  private final HostClock clock;
  private final HostLog hostLog;
  private StorePosition next = StorePosition.NONE;
  private long provedMs = HostClock.NEVER_MS;
  private long retryMs = FIRST_RETRY_MS;
  private boolean lost;

  /**
   * How often a log is asked.
   *
   * @param waitMs how long one question waits for a record, in milliseconds
   * @param pauseMs the pause after an answer, in milliseconds
   */
  record Pace(long waitMs, long pauseMs) {}

  /** Tells whether this host has to read the log itself. */
  interface Need {
    /**
     * Returns in how many milliseconds the log is to be read, as far as is known now; 0 for now.
     */
    long dueInMs();

    /** Returns the longest pause before a retry, in milliseconds. */
    long longestRetryMs();
  }

  /** Takes what was read. */
  interface Reader {
    /** Returns the end of the log as far as it is known here, also from other daemons. */
    StorePosition readTo();

    /** Takes note that the platform answers again; what it holds is read next. */
    void regained();

    /**
     * Takes the newest record of every key: what is not among them is gone.
     *
     * @param askedMs when the question was sent, by the host's clock
     */
    void whole(KeyedPage page, long askedMs);

    /**
     * Takes the records since the last reading.
     *
     * @param provedMs a time, by the host's clock, at which the log held nothing else
     */
    void changes(KeyedPage page, long provedMs);
  }

  TopicFollower(
      Vertx vertx,
      KeyedLog log,
      KeyedLog.Topic topic,
      Pace pace,
      Need need,
      Reader reader,
      HostClock clock,
      HostLog hostLog) {
    this.vertx = vertx;
    this.log = log;
    this.topic = topic;
    this.pace = pace;
    this.need = need;
    this.reader = reader;
    this.clock = clock;
    this.hostLog = hostLog;
  }

  /** Asks for the first time; questions follow each other from then on. */
  void start() {
    ask();
  }

  private void ask() {
    long dueInMs = need.dueInMs();
    if (dueInMs > 0) {
      vertx.setTimer(Math.min(LONGEST_LOOK_MS, dueInMs), id -> ask());
      return;
    }
    next = next.isKnown() ? next.max(reader.readTo()) : next;
    long askedMs = clock.nowMs();
    boolean whole = !next.isKnown();
    long waitMs = askedMs - provedMs > LONGEST_UNPROVED_MS ? 0 : pace.waitMs();
    (whole ? log.newest(topic) : log.read(topic, next.offset(), waitMs))
        .whenComplete(
            (page, failure) -> {
              if (failure == null) {
                answered(page, whole, askedMs, waitMs);
              } else {
                failed(failure);
              }
            });
  }

  private void answered(KeyedPage page, boolean whole, long askedMs, long waitMs) {
    tellRegained();
    retryMs = FIRST_RETRY_MS;
    if (!whole && page.era() > next.era()) {
      // Its offsets are others now, so that nothing says what lies before this page.
      hostLog.event(LogEvent.STORE_WENT_BACK, topic, next.era(), page.era());
      next = StorePosition.NONE;
      askAfter(NEWEST_AGAIN_MS);
      return;
    }
    if (next.isAfter(page.endPosition())) {
      // Of before what is known here; asked at once, the same might come without a pause.
      askAfter(Math.max(FIRST_RETRY_MS, pace.pauseMs()));
      return;
    }
    next = page.endPosition();
    provedMs = whole ? askedMs : provedMs(page, askedMs, waitMs);
    if (whole) {
      reader.whole(page, askedMs);
    } else {
      reader.changes(page, provedMs);
    }
    askAfter(pace.pauseMs());
  }

  private void tellRegained() {
    if (lost) {
      lost = false;
      hostLog.event(LogEvent.PLATFORM_BACK);
      reader.regained();
    }
  }

  /**
   * Returns the time up to which an answer proves what the log held. One without records came only
   * after the wait was over, and so proves that nothing was there until then.
   */
  private long provedMs(KeyedPage page, long askedMs, long waitMs) {
    boolean waited = page.records().isEmpty() && clock.nowMs() - askedMs >= waitMs;
    return waited ? askedMs + Math.max(0, waitMs - WAIT_MARGIN_MS) : askedMs;
  }

  private void failed(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    if (cause instanceof RecordsExpiredException) {
      // What was missed is gone; the newest record of every key says all that matters.
      hostLog.event(LogEvent.STORE_GAP, topic, Long.toString(next.offset()));
      next = StorePosition.NONE;
      askAfter(NEWEST_AGAIN_MS);
      return;
    }
    if (!lost) {
      lost = true;
      hostLog.event(LogEvent.PLATFORM_LOST, String.valueOf(cause));
    }
    askAfter(retryMs);
    retryMs = Math.min(need.longestRetryMs(), retryMs * 2);
  }

  private void askAfter(long afterMs) {
    if (afterMs <= 0) {
      ask();
    } else {
      vertx.setTimer(afterMs, id -> ask());
    }
  }
}
