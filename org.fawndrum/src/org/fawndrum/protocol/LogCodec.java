// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.protocol;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import org.fawndrum.coordination.once.Registration;
import org.fawndrum.errors.RecordUnreadableException;
import org.fawndrum.protocol.wire.CellChangeRecord;
import org.fawndrum.protocol.wire.LogEntry;
import org.fawndrum.protocol.wire.PublicationRecord;
import org.fawndrum.protocol.wire.RegistrationRecord;
import org.fawndrum.state.CallerGroup;
import org.fawndrum.state.CellChange;
import org.fawndrum.state.CellKey;
import org.fawndrum.state.Column;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.Publication;
import org.fawndrum.state.TableRevision;

/** Encodes and decodes the records that the system keeps on the platform's log. */
public final class LogCodec {
  private LogCodec() {}

  /** Encodes a publication. */
  public static byte[] publication(Publication publication) {
    PublicationRecord.Builder record =
        PublicationRecord.newBuilder()
            .setId(publication.id())
            .setOperator(publication.operator())
            .setEditedFrom(publication.baseRevision());
    publication.changes().forEach(change -> record.addChanges(changeRecord(change)));
    return LogEntry.newBuilder().setPublication(record).build().toByteArray();
  }

  /** Encodes a registration. */
  public static byte[] registration(Registration registration) {
    RegistrationRecord record = registrationRecord(registration);
    return LogEntry.newBuilder().setRegistration(record).build().toByteArray();
  }

  /** Returns the record of a registration. */
  static RegistrationRecord registrationRecord(Registration registration) {
    return RegistrationRecord.newBuilder()
        .setHost(registration.identity().host())
        .setIncarnation(registration.identity().incarnation())
        .setZone(registration.zone())
        .setIp(registration.peerAddress().ip())
        .setPort(registration.peerAddress().port())
        .setRetired(registration.retired())
        .build();
  }

  /** Encodes a snapshot of a table with all registrations. */
  public static byte[] snapshot(TableRevision table, List<Registration> members) {
    return LogEntry.newBuilder()
        .setSnapshot(SnapshotCodec.encode(table, members))
        .build()
        .toByteArray();
  }

  /**
   * Decodes a log record.
   *
   * @throws RecordUnreadableException if the bytes are not a valid record
   */
  public static LogEntry read(long offset, byte[] bytes) {
    try {
      return LogEntry.parseFrom(bytes);
    } catch (InvalidProtocolBufferException e) {
      throw new RecordUnreadableException(offset, e);
    }
  }

  /**
   * Returns the publication in a record, or null if it contains a column that this version does not
   * know; such a publication has no effect.
   */
  public static Publication publication(PublicationRecord record) {
    List<CellChange> changes = record.getChangesList().stream().map(LogCodec::change).toList();
    boolean columnsKnown = changes.stream().allMatch(change -> change.key().column() != null);
    return columnsKnown
        ? new Publication(record.getId(), record.getOperator(), record.getEditedFrom(), changes)
        : null;
  }

  /** Returns the registration in a record. */
  public static Registration registration(RegistrationRecord record) {
    return new Registration(
        new HostIdentity(record.getHost(), record.getIncarnation()),
        record.getZone(),
        new HostAddress(record.getIp(), record.getPort()),
        record.getRetired());
  }

  private static CellChangeRecord changeRecord(CellChange change) {
    CellChangeRecord.Builder record =
        CellChangeRecord.newBuilder()
            .setWorkspace(change.key().group().workspace())
            .setClassName(change.key().group().className())
            .setColumn(change.key().column().columnName());
    if (change.value() != null) {
      record.setValue(change.value());
    }
    return record.build();
  }

  private static CellChange change(CellChangeRecord record) {
    CallerGroup group = new CallerGroup(record.getWorkspace(), record.getClassName());
    CellKey key = new CellKey(group, Column.named(record.getColumn()));
    return new CellChange(key, record.hasValue() ? record.getValue() : null);
  }
}
