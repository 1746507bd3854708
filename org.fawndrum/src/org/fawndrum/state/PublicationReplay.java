// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

import java.util.ArrayList;
import java.util.List;

/**
 * Applies one publication of the log to the table. A publication is accepted if every value is
 * valid and none of its cells changed after its base revision. The result depends only on the
 * previous table and the record, so all hosts reach the same decision without consensus.
 */
public final class PublicationReplay {
  private final TableRevision before;
  private final long offset;
  private final Publication publication;

  /**
   * Creates the replay of one record.
   *
   * @param before the table after all earlier records
   * @param offset the log offset of the record
   * @param publication the publication in the record
   */
  public PublicationReplay(TableRevision before, long offset, Publication publication) {
    this.before = before;
    this.offset = offset;
    this.publication = publication;
  }

  /**
   * Returns the table after the record. A record at or before the table's position has no effect; a
   * publication that already has an outcome changes only the position.
   */
  public TableRevision apply() {
    if (offset <= before.position()) {
      return before;
    }
    if (before.outcome(publication.id()).isPresent()) {
      return before.withPosition(offset);
    }
    PublicationOutcome outcome = decide();
    TableRevision after =
        outcome instanceof PublicationOutcome.Accepted
            ? before.withChanges(publication, offset)
            : before.withPosition(offset);
    return after.withOutcome(publication.id(), outcome);
  }

  private PublicationOutcome decide() {
    List<PublicationOutcome.BadCell> badCells = badCells(publication.changes());
    if (!badCells.isEmpty()) {
      return new PublicationOutcome.Invalid(offset, badCells);
    }
    if (publication.baseRevision() >= offset) {
      return new PublicationOutcome.UnknownBaseRevision(offset, publication.baseRevision());
    }
    List<PublicationOutcome.Conflict> conflicts = conflicts();
    if (!conflicts.isEmpty()) {
      return new PublicationOutcome.Lost(offset, conflicts);
    }
    return new PublicationOutcome.Accepted(offset);
  }

  /** Returns the changes whose values are not valid for their columns. */
  public static List<PublicationOutcome.BadCell> badCells(List<CellChange> changes) {
    List<PublicationOutcome.BadCell> invalid = new ArrayList<>();
    for (CellChange change : changes) {
      CellRule rule = change.key().column().rule();
      if (change.value() != null && !rule.allows(change.value())) {
        invalid.add(new PublicationOutcome.BadCell(change.key(), change.value(), rule.allowed()));
      }
    }
    return List.copyOf(invalid);
  }

  private List<PublicationOutcome.Conflict> conflicts() {
    List<PublicationOutcome.Conflict> conflicts = new ArrayList<>();
    for (CellChange change : publication.changes()) {
      Row row = before.rows().getOrDefault(change.key().group(), Row.EMPTY);
      row.cell(change.key().column())
          .filter(cell -> cell.offset() > publication.baseRevision())
          .ifPresent(cell -> conflicts.add(new PublicationOutcome.Conflict(change.key(), cell)));
    }
    return List.copyOf(conflicts);
  }
}
