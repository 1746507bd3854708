// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import org.fawndrum.coordination.LogReplay;
import org.fawndrum.coordination.SnapshotTurn;
import org.fawndrum.coordination.once.Registration;
import org.fawndrum.coordination.once.RegistrationBook;
import org.fawndrum.errors.RecordsExpiredException;
import org.fawndrum.internal.duty.StopThread;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;
import org.fawndrum.protocol.LogCodec;
import org.fawndrum.protocol.PlatformLog;
import org.fawndrum.protocol.SnapshotCodec;
import org.fawndrum.protocol.wire.SnapshotRecord;
import org.fawndrum.state.TableRevision;

/**
 * The thread that follows the platform's log: it brings newer tables to the store, tells of
 * registrations in the order of the log, and appends snapshots when it is this host's turn.
 */
final class LogFollower implements AutoCloseable {
  private static final int MOST_RECORDS = 500;
  private static final long PAUSE_NANOS = 250_000_000;
  private static final long SNAPSHOT_AGAIN_MS = 30_000;

  private final PlatformLog platform;
  private final PlatformLog platformEnd;
  private final TableStore store;
  private final HostClock clock;
  private final LongFunction<Integer> snapshotRank;
  private final Consumer<Registration> registrations;
  private final HostLog log;
  private final LogRecordReader reader;
  private final Thread thread;
  private final LogReplay replay = new LogReplay();
  private final RegistrationBook book = new RegistrationBook();
  private final ConcurrentLinkedQueue<SnapshotRecord> fromPeers = new ConcurrentLinkedQueue<>();
  private final Map<CompletableFuture<Void>, Long> awaited = new ConcurrentHashMap<>();
  private volatile boolean platformUp;
  private volatile boolean inGap;
  private volatile boolean everCaughtUp;
  private volatile long replayedTo;
  private volatile Newest newest = new Newest(TableRevision.EMPTY, List.of());
  private volatile boolean stopping;
  private long newestSnapshotSeenMs;
  private long nextSnapshotMs;

  /** The newest table with everybody registered, written down only when somebody asks. */
  private record Newest(TableRevision table, List<Registration> members) {}

  /**
   * Makes the follower, not started.
   *
   * @param platform the log; its reads wait for records
   * @param platformEnd the log; its reads do not wait
   * @param snapshotRank this host's place in the turn to append a snapshot, given the position of
   *     the last one
   * @param registrations is told of each registration in order, on the follower's thread
   */
  LogFollower(
      PlatformLog platform,
      PlatformLog platformEnd,
      TableStore store,
      HostClock clock,
      LongFunction<Integer> snapshotRank,
      Consumer<Registration> registrations,
      HostLog log) {
    this.platform = platform;
    this.platformEnd = platformEnd;
    this.store = store;
    this.clock = clock;
    this.snapshotRank = snapshotRank;
    this.registrations = registrations;
    this.log = log;
    this.reader = new LogRecordReader(log);
    this.thread = new Thread(this::run, "log-follower");
    this.thread.setDaemon(true);
  }

  void start() {
    newestSnapshotSeenMs = clock.nowMs();
    thread.start();
  }

  @Override
  public void close() {
    stopping = true;
    StopThread.call(thread);
  }

  /** Tells whether the platform answered last. */
  boolean platformUp() {
    return platformUp;
  }

  /** Tells whether the log can give this host everything, so that peers need not be asked. */
  boolean needsNoPeer() {
    return platformUp && !inGap;
  }

  /**
   * Tells whether this host once had the newest table that it could get: the log read to its end,
   * or a table from a peer while the platform did not answer.
   */
  boolean everCaughtUp() {
    return everCaughtUp;
  }

  /** Returns the newest table with everybody registered, for another host. */
  SnapshotRecord snapshot() {
    Newest known = newest;
    return SnapshotCodec.encode(known.table(), known.members());
  }

  /** Takes a table from a peer; it is looked at before the next read. */
  void fromPeer(SnapshotRecord snapshot) {
    fromPeers.add(snapshot);
  }

  /**
   * Completes when everything is replayed that the log held at the time of this call. Fails when
   * the platform does not answer or records are missing.
   */
  CompletableFuture<Void> readToEnd() {
    return platformEnd
        .read(Math.max(0, replayedTo), 1)
        .thenCompose(
            batch -> {
              if (inGap) {
                return CompletableFuture.failedFuture(
                    new RecordsExpiredException(replayedTo, batch.first()));
              }
              CompletableFuture<Void> replayed = new CompletableFuture<>();
              awaited.put(replayed, batch.next());
              settleAwaited();
              return replayed;
            });
  }

  private void settleAwaited() {
    awaited.forEach(
        (future, offset) -> {
          if (replayedTo >= offset && awaited.remove(future) != null) {
            future.complete(null);
          }
        });
  }

  private void run() {
    while (!stopping) {
      takeFromPeers();
      try {
        PlatformLog.Batch batch = platform.read(replay.next(), MOST_RECORDS).join();
        take(batch);
        noteUp(true, "");
        appendSnapshotIfDue();
      } catch (CompletionException e) {
        noteUp(false, String.valueOf(e.getCause()));
        LockSupport.parkNanos(PAUSE_NANOS);
      }
    }
  }

  private void takeFromPeers() {
    SnapshotRecord snapshot = fromPeers.poll();
    while (snapshot != null) {
      SnapshotCodec.members(snapshot).forEach(this::registered);
      replay.adopt(SnapshotCodec.decode(snapshot)).ifPresent(store::offer);
      refresh();
      everCaughtUp |= !platformUp;
      snapshot = fromPeers.poll();
    }
  }

  private void registered(Registration registration) {
    book.add(registration, clock.nowMs());
    registrations.accept(registration);
  }

  private void noteUp(boolean up, String why) {
    if (up && !platformUp) {
      log.event(LogEvent.PLATFORM_BACK);
    } else if (!up && platformUp) {
      log.event(LogEvent.PLATFORM_LOST, why);
    }
    platformUp = up;
  }

  private void take(PlatformLog.Batch batch) {
    boolean before = replay.inGap();
    replay.logBegins(batch.first());
    if (replay.inGap() && !before) {
      String position = Long.toString(replay.table().position() + 1);
      log.event(LogEvent.LOG_GAP, Long.toString(batch.first()), position);
    }
    for (PlatformLog.LogRecord record : batch.records()) {
      LogRecordReader.Read read = reader.read(record);
      read.registrations().forEach(this::registered);
      if (read.entry() instanceof LogReplay.Entry.Snapshot) {
        newestSnapshotSeenMs = clock.nowMs();
      }
      replay.record(read.entry());
    }
    store.offer(replay.table());
    refresh();
    everCaughtUp |= !inGap && replayedTo >= batch.next();
    settleAwaited();
  }

  private void refresh() {
    inGap = replay.inGap();
    replayedTo = replay.next();
    if (replay.table().position() > newest.table().position()) {
      newest = new Newest(replay.table(), book.members(clock.nowMs()));
    }
  }

  private void appendSnapshotIfDue() {
    long nowMs = clock.nowMs();
    if (nowMs < nextSnapshotMs || replay.inGap() || replay.table().revision() < 0) {
      return;
    }
    int rank = snapshotRank.apply(replay.lastSnapshot());
    if (!SnapshotTurn.due(replay.sinceSnapshot(), nowMs - newestSnapshotSeenMs, rank)) {
      return;
    }
    nextSnapshotMs = nowMs + SNAPSHOT_AGAIN_MS;
    String position = Long.toString(replay.table().position());
    platform
        .append(LogCodec.snapshot(replay.table(), book.members(nowMs)))
        .thenAccept(
            offset -> log.event(LogEvent.SNAPSHOT_APPENDED, position, Long.toString(offset)));
  }
}
