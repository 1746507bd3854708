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
import org.fawndrum.coordination.SnapshotSchedule;
import org.fawndrum.coordination.once.Registration;
import org.fawndrum.coordination.once.RegistrationTable;
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
 * The thread that replays the log of the platform. It passes newer tables to the {@link
 * TableStore}, reports registrations in log order, and appends snapshots when this host is due to
 * do so.
 */
final class LogFollower implements AutoCloseable {
  private static final int MAX_RECORDS_PER_READ = 500;
  private static final long RETRY_NANOS = 250_000_000;
  private static final long SNAPSHOT_RETRY_MS = 30_000;

  private final PlatformLog platform;
  private final PlatformLog platformWithoutWait;
  private final TableStore store;
  private final HostClock clock;
  private final LongFunction<Integer> snapshotRank;
  private final Consumer<Registration> registrationListener;
  private final HostLog log;
  private final LogRecordReader reader;
  private final Thread thread;
  private final LogReplay replay = new LogReplay();
  private final RegistrationTable registrationTable = new RegistrationTable();
  private final ConcurrentLinkedQueue<SnapshotRecord> peerSnapshots = new ConcurrentLinkedQueue<>();
  private final Map<CompletableFuture<Void>, Long> awaitedOffsets = new ConcurrentHashMap<>();
  private volatile boolean platformUp;
  private volatile boolean inGap;
  private volatile boolean everCaughtUp;
  private volatile long replayedTo;
  private volatile LatestTable latest = new LatestTable(TableRevision.EMPTY, List.of());
  private volatile boolean stopping;
  private long newestSnapshotSeenMs;
  private long nextSnapshotMs;

  /** The newest table with all registrations; it is encoded only on request. */
  private record LatestTable(TableRevision table, List<Registration> members) {}

  /**
   * Creates the follower; its thread runs once {@link #start} is called.
   *
   * @param platform the log, with reads that wait for records
   * @param platformWithoutWait the log, with reads that return at once
   * @param snapshotRank returns the rank of this host in the order in which hosts append the next
   *     snapshot, for the position of the last one
   * @param registrationListener receives each registration in log order, on the thread of the
   *     follower
   */
  LogFollower(
      PlatformLog platform,
      PlatformLog platformWithoutWait,
      TableStore store,
      HostClock clock,
      LongFunction<Integer> snapshotRank,
      Consumer<Registration> registrationListener,
      HostLog log) {
    this.platform = platform;
    this.platformWithoutWait = platformWithoutWait;
    this.store = store;
    this.clock = clock;
    this.snapshotRank = snapshotRank;
    this.registrationListener = registrationListener;
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

  /** Returns whether the last read of the log succeeded. */
  boolean platformUp() {
    return platformUp;
  }

  /** Returns whether the log is readable without a gap, so that no peer needs to be queried. */
  boolean platformSuffices() {
    return platformUp && !inGap;
  }

  /**
   * Returns whether this host ever held the newest table that it could obtain: it replayed the log
   * to its end, or adopted a table of a peer while the platform was unavailable.
   */
  boolean everCaughtUp() {
    return everCaughtUp;
  }

  /** Returns the newest table with all registrations, for another host. */
  SnapshotRecord snapshot() {
    LatestTable current = latest;
    return SnapshotCodec.encode(current.table(), current.members());
  }

  /** Queues a table of a peer; it is adopted before the next read of the log. */
  void offerPeerSnapshot(SnapshotRecord snapshot) {
    peerSnapshots.add(snapshot);
  }

  /**
   * Completes when all records that the log holds at the time of this call are replayed. Fails when
   * the platform is unavailable or records are missing.
   */
  CompletableFuture<Void> readToEnd() {
    return platformWithoutWait
        .read(Math.max(0, replayedTo), 1)
        .thenCompose(
            batch -> {
              if (inGap) {
                return CompletableFuture.failedFuture(
                    new RecordsExpiredException(replayedTo, batch.first()));
              }
              CompletableFuture<Void> completed = new CompletableFuture<>();
              awaitedOffsets.put(completed, batch.next());
              completeAwaited();
              return completed;
            });
  }

  private void completeAwaited() {
    awaitedOffsets.forEach(
        (future, offset) -> {
          if (replayedTo >= offset && awaitedOffsets.remove(future) != null) {
            future.complete(null);
          }
        });
  }

  private void run() {
    while (!stopping) {
      adoptPeerSnapshots();
      try {
        PlatformLog.Batch batch = platform.read(replay.nextOffset(), MAX_RECORDS_PER_READ).join();
        replayBatch(batch);
        updatePlatformState(true, "");
        appendSnapshotIfDue();
      } catch (CompletionException e) {
        updatePlatformState(false, String.valueOf(e.getCause()));
        LockSupport.parkNanos(RETRY_NANOS);
      }
    }
  }

  private void adoptPeerSnapshots() {
    SnapshotRecord snapshot = peerSnapshots.poll();
    while (snapshot != null) {
      SnapshotCodec.members(snapshot).forEach(this::registered);
      replay.adopt(SnapshotCodec.decode(snapshot)).ifPresent(store::offer);
      publishProgress();
      everCaughtUp |= !platformUp;
      snapshot = peerSnapshots.poll();
    }
  }

  private void registered(Registration registration) {
    registrationTable.add(registration, clock.nowMs());
    registrationListener.accept(registration);
  }

  private void updatePlatformState(boolean up, String cause) {
    if (up && !platformUp) {
      log.event(LogEvent.PLATFORM_AVAILABLE);
    } else if (!up && platformUp) {
      log.event(LogEvent.PLATFORM_UNAVAILABLE, cause);
    }
    platformUp = up;
  }

  private void replayBatch(PlatformLog.Batch batch) {
    boolean wasInGap = replay.inGap();
    replay.logStartsAt(batch.first());
    if (replay.inGap() && !wasInGap) {
      String position = Long.toString(replay.table().position() + 1);
      log.event(LogEvent.LOG_GAP, Long.toString(batch.first()), position);
    }
    for (PlatformLog.LogRecord record : batch.records()) {
      LogRecordReader.DecodedRecord decoded = reader.read(record);
      decoded.registrations().forEach(this::registered);
      if (decoded.entry() instanceof LogReplay.Entry.Snapshot) {
        newestSnapshotSeenMs = clock.nowMs();
      }
      replay.record(decoded.entry());
    }
    store.offer(replay.table());
    publishProgress();
    everCaughtUp |= !inGap && replayedTo >= batch.next();
    completeAwaited();
  }

  private void publishProgress() {
    inGap = replay.inGap();
    replayedTo = replay.nextOffset();
    if (replay.table().position() > latest.table().position()) {
      latest = new LatestTable(replay.table(), registrationTable.members(clock.nowMs()));
    }
  }

  private void appendSnapshotIfDue() {
    long nowMs = clock.nowMs();
    if (nowMs < nextSnapshotMs || replay.inGap() || replay.table().revision() < 0) {
      return;
    }
    int rank = snapshotRank.apply(replay.lastSnapshotPosition());
    if (!SnapshotSchedule.isDue(
        replay.recordsSinceSnapshot(), nowMs - newestSnapshotSeenMs, rank)) {
      return;
    }
    nextSnapshotMs = nowMs + SNAPSHOT_RETRY_MS;
    String position = Long.toString(replay.table().position());
    platform
        .append(LogCodec.snapshot(replay.table(), registrationTable.members(nowMs)))
        .thenAccept(
            offset -> log.event(LogEvent.SNAPSHOT_APPENDED, position, Long.toString(offset)));
  }
}
