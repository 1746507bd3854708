// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import java.util.List;
import org.fawndrum.coordination.LogReplay;
import org.fawndrum.coordination.once.Registration;
import org.fawndrum.errors.BadSnapshotException;
import org.fawndrum.errors.RecordUnreadableException;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;
import org.fawndrum.protocol.LogCodec;
import org.fawndrum.protocol.PlatformLog;
import org.fawndrum.protocol.SnapshotCodec;
import org.fawndrum.protocol.wire.LogEntry;
import org.fawndrum.state.Publication;

/** Turns records of the log into what they mean; one that cannot be read means nothing. */
final class LogRecordReader {
  private final HostLog log;

  /** What one record means to the table, and whom it registers. */
  record Read(LogReplay.Entry entry, List<Registration> registrations) {
    static Read other(long offset) {
      return new Read(new LogReplay.Entry.Other(offset), List.of());
    }
  }

  LogRecordReader(HostLog log) {
    this.log = log;
  }

  Read read(PlatformLog.LogRecord record) {
    try {
      return read(record.offset(), LogCodec.read(record.offset(), record.content()));
    } catch (RecordUnreadableException | BadSnapshotException e) {
      log.failure(LogEvent.RECORD_PASSED_OVER, e, Long.toString(record.offset()));
      return Read.other(record.offset());
    }
  }

  private static Read read(long offset, LogEntry entry) {
    return switch (entry.getEntryCase()) {
      case PUBLICATION -> {
        Publication publication = LogCodec.publication(entry.getPublication());
        yield publication == null
            ? Read.other(offset)
            : new Read(new LogReplay.Entry.Published(offset, publication), List.of());
      }
      case SNAPSHOT ->
          new Read(
              new LogReplay.Entry.Snapshot(offset, SnapshotCodec.decode(entry.getSnapshot())),
              SnapshotCodec.members(entry.getSnapshot()));
      case REGISTRATION ->
          new Read(
              new LogReplay.Entry.Other(offset),
              List.of(LogCodec.registration(entry.getRegistration())));
      default -> Read.other(offset);
    };
  }
}
