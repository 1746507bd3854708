// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.fawndrum.errors.RecordsExpiredException;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.protocol.KeyedLog;
import org.fawndrum.protocol.KeyedPage;
import org.fawndrum.protocol.KeyedPage.KeyedRecord;
import org.fawndrum.protocol.StorePosition;
import org.fawndrum.transport.HostClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** What answers of the store confirm, and what follows when records have expired. */
class TopicFollowerTest {
  private static final KeyedRecord RECORD = new KeyedRecord(3, "config", new byte[] {1});

  /** The age up to which a host need not read the log itself, in milliseconds. */
  private static final long MAX_AGE_MS = 3_000;

  private final Vertx vertx = Vertx.vertx();
  private final ManualLog log = new ManualLog();
  private final List<Long> confirmed = new ArrayList<>();
  private final List<Long> snapshots = new ArrayList<>();
  private long nowMs = 10_000;
  private volatile boolean leader = true;
  private volatile long ageMs;
  private volatile long repeatMs = 60_000;
  private volatile long answerMs = 60_000;
  private volatile StorePosition knownEnd = StorePosition.NONE;

  /** A store whose answers the test provides. */
  private static final class ManualLog implements KeyedLog {
    final Deque<CompletableFuture<KeyedPage>> pending = new ArrayDeque<>();
    final List<Long> waits = new ArrayList<>();
    final List<Long> readOffsets = new ArrayList<>();
    volatile int newestQueries;

    @Override
    public CompletableFuture<KeyedPage> newest(Topic topic, Call call) {
      newestQueries++;
      return query();
    }

    @Override
    public CompletableFuture<KeyedPage> read(Topic topic, long from, long waitMs, Call call) {
      waits.add(waitMs);
      readOffsets.add(from);
      return query();
    }

    private CompletableFuture<KeyedPage> query() {
      pending.addLast(new CompletableFuture<>());
      return pending.getLast();
    }

    void answer(KeyedPage page) {
      pending.removeFirst().complete(page);
    }
  }

  private void start() {
    TopicFollower.Reader reader =
        new TopicFollower.Reader() {
          @Override
          public StorePosition knownEnd() {
            return knownEnd;
          }

          @Override
          public void storeAvailable() {}

          @Override
          public void applySnapshot(KeyedPage page, long queriedMs) {
            snapshots.add(queriedMs);
          }

          @Override
          public void applyChanges(KeyedPage page, long confirmedMs) {
            confirmed.add(confirmedMs);
          }
        };
    new TopicFollower(
            new VertxTimer(vertx),
            log,
            KeyedLog.Topic.OPERATORS,
            () -> new TopicFollower.Timing(1_500, 0, repeatMs, answerMs, 1_000),
            new LogReadSchedule(() -> leader, () -> ageMs, () -> MAX_AGE_MS),
            reader,
            () -> nowMs,
            new HostLog("test"))
        .start();
  }

  /** Waits for this many milliseconds. */
  private void elapse(long afterMs) throws Exception {
    CompletableFuture<Void> elapsed = new CompletableFuture<>();
    vertx.setTimer(afterMs, id -> elapsed.complete(null));
    elapsed.get();
  }

  /** Waits until the newest records were queried this many times. */
  private void awaitNewestQueries(int times) throws Exception {
    CompletableFuture<Void> queried = new CompletableFuture<>();
    vertx.setPeriodic(
        5,
        id -> {
          if (log.newestQueries == times) {
            queried.complete(null);
          }
        });
    queried.get(20, TimeUnit.SECONDS);
  }

  /** Waits until records were read this many times. */
  private void awaitReads(int times) throws Exception {
    CompletableFuture<Void> read = new CompletableFuture<>();
    vertx.setPeriodic(
        5,
        id -> {
          if (log.waits.size() == times) {
            read.complete(null);
          }
        });
    read.get(20, TimeUnit.SECONDS);
  }

  @AfterEach
  void close() {
    vertx.close().await();
  }

  @Test
  void answerWithRecordsConfirmsTheTimeOfTheQuery() {
    start();
    log.answer(new KeyedPage(List.of(), 3));
    nowMs += 900;
    log.answer(new KeyedPage(List.of(RECORD), 4));
    assertEquals(List.of(10_000L), snapshots);
    assertEquals(List.of(10_000L), confirmed);
  }

  @Test
  void emptyAnswerAfterTheWaitConfirmsItsEnd() {
    start();
    log.answer(new KeyedPage(List.of(), 3));
    nowMs += 1_510;
    log.answer(new KeyedPage(List.of(), 3));
    assertEquals(List.of(11_450L), confirmed);
  }

  @Test
  void emptyAnswerBeforeTheWaitEndsConfirmsTheTimeOfTheQuery() {
    start();
    log.answer(new KeyedPage(List.of(), 3));
    nowMs += 700;
    log.answer(new KeyedPage(List.of(), 3));
    assertEquals(List.of(10_000L), confirmed);
  }

  @Test
  void queryAfterALateRecordDoesNotWait() {
    start();
    log.answer(new KeyedPage(List.of(), 3));
    nowMs += 1_200;
    log.answer(new KeyedPage(List.of(RECORD), 4));
    assertEquals(List.of(1_500L, 0L), log.waits);
  }

  @Test
  void olderPageIsIgnored() {
    start();
    log.answer(new KeyedPage(List.of(), 9));
    log.answer(new KeyedPage(List.of(RECORD), 4));
    assertTrue(confirmed.isEmpty());
  }

  @Test
  void upToDateHostDoesNotRead() throws Exception {
    leader = false;
    ageMs = MAX_AGE_MS - 1;
    start();
    elapse(300);
    assertEquals(0, log.newestQueries);
  }

  @Test
  void outdatedHostReads() throws Exception {
    leader = false;
    start();
    ageMs = MAX_AGE_MS + 1;
    awaitNewestQueries(1);
  }

  @Test
  void readingContinuesAfterPeersUpdates() {
    start();
    log.answer(new KeyedPage(List.of(), 3));
    knownEnd = new StorePosition(0, 9);
    log.answer(new KeyedPage(List.of(), 3));
    assertEquals(List.of(3L, 9L), log.readOffsets);
  }

  @Test
  void newestRecordsAreReadWhenRecordsExpired() throws Exception {
    start();
    log.answer(new KeyedPage(List.of(), 3));
    log.pending.removeFirst().completeExceptionally(new RecordsExpiredException(3, 8));
    awaitNewestQueries(2);
  }

  @Test
  void newestRecordsAreReadAfterARestoreAndThePageIsIgnored() throws Exception {
    start();
    log.answer(new KeyedPage(List.of(), 9, 1));
    log.answer(new KeyedPage(List.of(RECORD), 12, 2));
    awaitNewestQueries(2);
    assertEquals(List.of(), confirmed);
    log.answer(new KeyedPage(List.of(RECORD), 4, 2));
    assertEquals(2, snapshots.size());
    assertEquals(List.of(9L, 4L), log.readOffsets);
  }

  @Test
  void answerOfAPreviousEpochIsIgnoredAndTheNextQueryDelayed() throws Exception {
    start();
    log.answer(new KeyedPage(List.of(), 3, 2));
    log.answer(new KeyedPage(List.of(RECORD), 90, 1));
    assertTrue(confirmed.isEmpty());
    assertEquals(List.of(3L), log.readOffsets);
    elapse(300);
    assertEquals(List.of(3L, 3L), log.readOffsets);
  }

  @Test
  void readingContinuesInTheEpochOfPeersUpdates() {
    start();
    log.answer(new KeyedPage(List.of(), 90, 1));
    knownEnd = new StorePosition(2, 7);
    log.answer(new KeyedPage(List.of(), 90, 1));
    log.answer(new KeyedPage(List.of(RECORD), 8, 2));
    assertEquals(List.of(90L, 7L, 8L), log.readOffsets);
    assertEquals(1, snapshots.size());
  }

  /** A page that stopped before a revocation counted as proof that there was none. */
  @Test
  void aPageThatDoesNotReachTheEndOfTheLogConfirmsNothing() throws Exception {
    start();
    log.answer(new KeyedPage(List.of(), 3));
    nowMs += 5_000;
    log.answer(new KeyedPage(List.of(RECORD), 4, 0, false));
    assertEquals(List.of(HostClock.NEVER_MS), confirmed);
    awaitReads(2);
    assertEquals(List.of(3L, 4L), log.readOffsets, "it does not read on");
    log.answer(new KeyedPage(List.of(RECORD), 5));
    assertEquals(List.of(HostClock.NEVER_MS, 15_000L), confirmed);
  }

  /** All configurations since a host's last read, minutes ago, came before the one in force. */
  @Test
  void aHostThatHasNotReadForLongReadsTheNewestRecords() throws Exception {
    start();
    leader = false;
    log.answer(new KeyedPage(List.of(), 3));
    nowMs += 60_000;
    ageMs = MAX_AGE_MS;
    awaitNewestQueries(2);
    assertEquals(List.of(), log.readOffsets);
  }

  /** Records that could not be read were skipped, and what came before them counted as newest. */
  @Test
  void aHostReadsTheNewestRecordsWhereAPageContainsNoneThatCanBeRead() throws Exception {
    start();
    log.answer(new KeyedPage(List.of(), 3));
    log.answer(new KeyedPage(List.of(), 3, 0, false));
    awaitNewestQueries(2);
    assertEquals(List.of(), confirmed);
    log.answer(new KeyedPage(List.of(RECORD), 9));
    assertEquals(2, snapshots.size());
    assertEquals(List.of(3L, 9L), log.readOffsets);
  }

  /**
   * A host that was late, and is in time again, went on waiting for as long as it had been late: it
   * knew of no new configuration, since its connection was dead.
   */
  @Test
  void aQueryOfATimeInWhichTheHostWasLateIsRepeatedInTime() throws Exception {
    start();
    assertEquals(1, log.newestQueries);
    repeatMs = 50;
    awaitNewestQueries(2);
  }

  /** The same where the path was still cut when the query was repeated. */
  @Test
  void aQueryOfATimeInWhichTheHostWasLateIsGivenUpInTime() throws Exception {
    repeatMs = 50;
    start();
    awaitNewestQueries(2);
    repeatMs = 60_000;
    answerMs = 500;
    nowMs += 2 * answerMs;
    log.pending.getLast().completeExceptionally(new TimeoutException());
    awaitNewestQueries(3);
  }
}
