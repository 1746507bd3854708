// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.fawndrum.coordination.LogReplay;
import org.fawndrum.errors.BadSnapshotException;
import org.fawndrum.errors.RecordUnreadableException;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;
import org.fawndrum.protocol.LogCodec;
import org.fawndrum.protocol.PlatformLog;
import org.fawndrum.protocol.Registration;
import org.fawndrum.protocol.SnapshotCodec;
import org.fawndrum.protocol.wire.LogEntry;
import org.fawndrum.state.Publication;
import org.fawndrum.state.TableRevision;

/** The thread that follows the platform's log and brings newer tables to the store. */
final class LogFollower implements AutoCloseable {
  private static final int MOST_RECORDS = 500;
  private static final long PAUSE_NANOS = 250_000_000;
  private static final long JOIN_MS = 2_000;

  private final PlatformLog platform;
  private final TableStore store;
  private final Consumer<Registered> registrations;
  private final HostLog log;
  private final Thread thread;
  private final LogReplay replay = new LogReplay();
  private final ConcurrentLinkedQueue<TableRevision> fromPeers = new ConcurrentLinkedQueue<>();
  private volatile boolean platformUp;
  private volatile boolean everRead;
  private volatile long sinceSnapshot;
  private volatile long endSeen = -1;
  private volatile boolean stopping;

  /** A registration with its offset. */
  record Registered(long offset, Registration registration) {}

  LogFollower(
      PlatformLog platform, TableStore store, Consumer<Registered> registrations, HostLog log) {
    this.platform = platform;
    this.store = store;
    this.registrations = registrations;
    this.log = log;
    this.thread = new Thread(this::run, "log-follower");
    this.thread.setDaemon(true);
  }

  void start() {
    thread.start();
  }

  @Override
  public void close() {
    stopping = true;
    LockSupport.unpark(thread);
    try {
      thread.join(JOIN_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Tells whether the platform answered last. */
  boolean platformUp() {
    return platformUp;
  }

  /** Tells whether the log was read to its end at least once. */
  boolean everRead() {
    return everRead;
  }

  /** Returns how many records were replayed since the newest snapshot in the log. */
  long sinceSnapshot() {
    return sinceSnapshot;
  }

  /** Returns the next offset of the log when it was last read to its end, -1 before. */
  long endSeen() {
    return endSeen;
  }

  /** Takes a table from a peer; it is looked at before the next read. */
  void fromPeer(TableRevision table) {
    fromPeers.add(table);
  }

  private void run() {
    while (!stopping) {
      takeFromPeers();
      try {
        PlatformLog.Batch batch = platform.read(replay.next(), MOST_RECORDS).join();
        take(batch);
        noteUp(true, "");
      } catch (CompletionException e) {
        noteUp(false, String.valueOf(e.getCause()));
        LockSupport.parkNanos(PAUSE_NANOS);
      }
    }
  }

  private void takeFromPeers() {
    TableRevision table = fromPeers.poll();
    while (table != null) {
      replay.adopt(table).ifPresent(store::offer);
      table = fromPeers.poll();
    }
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
      log.event(LogEvent.LOG_GAP, Long.toString(batch.first()), Long.toString(replay.next()));
    }
    for (PlatformLog.LogRecord record : batch.records()) {
      replay.record(entry(record));
    }
    sinceSnapshot = replay.sinceSnapshot();
    store.offer(replay.table());
    if (replay.next() >= batch.next()) {
      endSeen = batch.next();
      everRead = true;
    }
  }

  private LogReplay.Entry entry(PlatformLog.LogRecord record) {
    try {
      return entry(record.offset(), LogCodec.read(record.offset(), record.content()));
    } catch (RecordUnreadableException | BadSnapshotException e) {
      log.failure(LogEvent.RECORD_PASSED_OVER, e, Long.toString(record.offset()));
      return new LogReplay.Entry.Other(record.offset());
    }
  }

  private LogReplay.Entry entry(long offset, LogEntry entry) {
    switch (entry.getEntryCase()) {
      case PUBLICATION -> {
        Publication publication = LogCodec.publication(entry.getPublication());
        return publication == null
            ? new LogReplay.Entry.Other(offset)
            : new LogReplay.Entry.Published(offset, publication);
      }
      case SNAPSHOT -> {
        return new LogReplay.Entry.Snapshot(offset, SnapshotCodec.decode(entry.getSnapshot()));
      }
      case REGISTRATION -> {
        registrations.accept(
            new Registered(offset, LogCodec.registration(entry.getRegistration())));
        return new LogReplay.Entry.Other(offset);
      }
      default -> {
        return new LogReplay.Entry.Other(offset);
      }
    }
  }
}
