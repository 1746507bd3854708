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

/** Decodes log records. An unreadable record is logged and has no effect. */
final class LogRecordReader {
  private final HostLog log;

  /** The effect of one record on the table, and the registrations in it. */
  record DecodedRecord(LogReplay.Entry entry, List<Registration> registrations) {
    static DecodedRecord withoutEffect(long offset) {
      return new DecodedRecord(new LogReplay.Entry.Other(offset), List.of());
    }
  }

  LogRecordReader(HostLog log) {
    this.log = log;
  }

  DecodedRecord read(PlatformLog.LogRecord record) {
    try {
      return read(record.offset(), LogCodec.read(record.offset(), record.content()));
    } catch (RecordUnreadableException | BadSnapshotException e) {
      log.failure(LogEvent.RECORD_SKIPPED, e, Long.toString(record.offset()));
      return DecodedRecord.withoutEffect(record.offset());
    }
  }

  private static DecodedRecord read(long offset, LogEntry entry) {
    return switch (entry.getEntryCase()) {
      case PUBLICATION -> {
        Publication publication = LogCodec.publication(entry.getPublication());
        yield publication == null
            ? DecodedRecord.withoutEffect(offset)
            : new DecodedRecord(new LogReplay.Entry.Published(offset, publication), List.of());
      }
      case SNAPSHOT ->
          new DecodedRecord(
              new LogReplay.Entry.Snapshot(offset, SnapshotCodec.decode(entry.getSnapshot())),
              SnapshotCodec.members(entry.getSnapshot()));
      case REGISTRATION ->
          new DecodedRecord(
              new LogReplay.Entry.Other(offset),
              List.of(LogCodec.registration(entry.getRegistration())));
      default -> DecodedRecord.withoutEffect(offset);
    };
  }
}
