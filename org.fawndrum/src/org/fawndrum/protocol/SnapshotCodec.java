// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.protocol;

import com.google.protobuf.ByteString;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fawndrum.coordination.once.Registration;
import org.fawndrum.errors.BadSnapshotException;
import org.fawndrum.protocol.wire.BadCellRecord;
import org.fawndrum.protocol.wire.CellRecord;
import org.fawndrum.protocol.wire.OutcomeRecord;
import org.fawndrum.protocol.wire.SnapshotRecord;
import org.fawndrum.state.CallerGroup;
import org.fawndrum.state.Cell;
import org.fawndrum.state.CellKey;
import org.fawndrum.state.Column;
import org.fawndrum.state.PublicationOutcome;
import org.fawndrum.state.Row;
import org.fawndrum.state.TableRevision;
import org.fawndrum.state.TableRevisionBuilder;

/** Encodes and decodes snapshots of tables. A digest detects truncated or mixed snapshots. */
public final class SnapshotCodec {
  private SnapshotCodec() {}

  /** Encodes a snapshot of a table without registrations. */
  public static SnapshotRecord encode(TableRevision table) {
    return encode(table, List.of());
  }

  /** Encodes a snapshot with its digest; equal tables and members yield equal bytes. */
  public static SnapshotRecord encode(TableRevision table, List<Registration> members) {
    SnapshotRecord.Builder record =
        SnapshotRecord.newBuilder().setPosition(table.position()).setRevision(table.revision());
    table.rows().entrySet().stream()
        .sorted(Map.Entry.comparingByKey())
        .forEach(row -> addCells(record, row.getKey(), row.getValue()));
    table.outcomes().forEach((id, outcome) -> record.addOutcomes(outcomeRecord(id, outcome)));
    members.forEach(member -> record.addMembers(LogCodec.registrationRecord(member)));
    return record.setDigest(digest(record.build())).build();
  }

  /**
   * Decodes a snapshot.
   *
   * @throws BadSnapshotException if the digest does not match or a column is unknown
   */
  public static TableRevision decode(SnapshotRecord record) {
    SnapshotRecord withoutDigest = record.toBuilder().clearDigest().build();
    if (!digest(withoutDigest).equals(record.getDigest())) {
      throw new BadSnapshotException(record.getPosition());
    }
    TableRevisionBuilder builder =
        new TableRevisionBuilder(record.getRevision(), record.getPosition());
    for (CellRecord cell : record.getCellsList()) {
      builder.cell(keyOf(cell, record.getPosition()), cellOf(cell));
    }
    Map<String, PublicationOutcome> outcomes = new LinkedHashMap<>();
    for (OutcomeRecord outcome : record.getOutcomesList()) {
      outcomes.put(outcome.getId(), outcomeOf(outcome, record.getPosition()));
    }
    return builder.outcomes(outcomes).build();
  }

  /** Returns the registrations in a snapshot. */
  public static List<Registration> members(SnapshotRecord record) {
    return record.getMembersList().stream().map(LogCodec::registration).toList();
  }

  private static ByteString digest(SnapshotRecord withoutDigest) {
    try {
      MessageDigest sha = MessageDigest.getInstance("SHA-256");
      return ByteString.copyFrom(sha.digest(withoutDigest.toByteArray()));
    } catch (NoSuchAlgorithmException e) {
      throw new AssertionError(e);
    }
  }

  private static void addCells(SnapshotRecord.Builder record, CallerGroup group, Row row) {
    for (Column column : Column.values()) {
      Optional<Cell> cell = row.cell(column);
      cell.ifPresent(c -> record.addCells(cellRecord(new CellKey(group, column), c)));
    }
  }

  private static CellRecord cellRecord(CellKey key, Cell cell) {
    CellRecord.Builder record =
        CellRecord.newBuilder()
            .setWorkspace(key.group().workspace())
            .setClassName(key.group().className())
            .setColumn(key.column().columnName())
            .setOffset(cell.offset())
            .setOperator(cell.operator());
    if (cell.value() != null) {
      record.setValue(cell.value());
    }
    return record.build();
  }

  private static CellKey keyOf(CellRecord record, long position) {
    return key(record.getWorkspace(), record.getClassName(), record.getColumn(), position);
  }

  private static CellKey key(String workspace, String className, String column, long position) {
    Column named = Column.named(column);
    if (named == null) {
      throw new BadSnapshotException(position);
    }
    return new CellKey(new CallerGroup(workspace, className), named);
  }

  private static Cell cellOf(CellRecord record) {
    String value = record.hasValue() ? record.getValue() : null;
    return new Cell(value, record.getOffset(), record.getOperator());
  }

  private static OutcomeRecord outcomeRecord(String id, PublicationOutcome outcome) {
    OutcomeRecord.Builder record = OutcomeRecord.newBuilder().setId(id).setOffset(outcome.offset());
    if (outcome instanceof PublicationOutcome.Lost lost) {
      record.setKind(OutcomeRecord.Kind.LOST);
      lost.conflicts()
          .forEach(conflict -> record.addConflicts(cellRecord(conflict.key(), conflict.current())));
    } else if (outcome instanceof PublicationOutcome.Invalid invalid) {
      record.setKind(OutcomeRecord.Kind.INVALID);
      invalid.badCells().forEach(bad -> record.addBadCells(badCellRecord(bad)));
    } else if (outcome instanceof PublicationOutcome.UnknownBaseRevision unknownBase) {
      record.setKind(OutcomeRecord.Kind.FROM_THE_FUTURE).setEditedFrom(unknownBase.baseRevision());
    } else {
      record.setKind(OutcomeRecord.Kind.ACCEPTED);
    }
    return record.build();
  }

  private static BadCellRecord badCellRecord(PublicationOutcome.BadCell bad) {
    return BadCellRecord.newBuilder()
        .setWorkspace(bad.key().group().workspace())
        .setClassName(bad.key().group().className())
        .setColumn(bad.key().column().columnName())
        .setValue(bad.value())
        .setAllowed(bad.allowed())
        .build();
  }

  private static PublicationOutcome outcomeOf(OutcomeRecord record, long position) {
    long offset = record.getOffset();
    return switch (record.getKind()) {
      case ACCEPTED -> new PublicationOutcome.Accepted(offset);
      case LOST -> new PublicationOutcome.Lost(offset, conflicts(record, position));
      case INVALID -> new PublicationOutcome.Invalid(offset, badCells(record, position));
      case FROM_THE_FUTURE ->
          new PublicationOutcome.UnknownBaseRevision(offset, record.getEditedFrom());
      default -> throw new BadSnapshotException(position);
    };
  }

  private static List<PublicationOutcome.Conflict> conflicts(OutcomeRecord record, long position) {
    return record.getConflictsList().stream()
        .map(cell -> new PublicationOutcome.Conflict(keyOf(cell, position), cellOf(cell)))
        .toList();
  }

  private static List<PublicationOutcome.BadCell> badCells(OutcomeRecord record, long position) {
    return record.getBadCellsList().stream()
        .map(
            bad ->
                new PublicationOutcome.BadCell(
                    key(bad.getWorkspace(), bad.getClassName(), bad.getColumn(), position),
                    bad.getValue(),
                    bad.getAllowed()))
        .toList();
  }
}
