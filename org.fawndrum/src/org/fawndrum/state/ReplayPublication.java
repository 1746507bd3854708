// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

import java.util.ArrayList;
import java.util.List;

/**
 * The rule by which a publication in the log changes the table. A publication is accepted if every
 * cell is allowed and no cell that it touches changed after the revision it was edited from. The
 * rule reads nothing but the table before and the record, so all hosts decide alike without a vote.
 */
public final class ReplayPublication {
  private final TableRevision before;
  private final long offset;
  private final Publication publication;

  /**
   * Prepares the replay of one record.
   *
   * @param before the table after all earlier records
   * @param offset the offset of the record
   * @param publication the record
   */
  public ReplayPublication(TableRevision before, long offset, Publication publication) {
    this.before = before;
    this.offset = offset;
    this.publication = publication;
  }

  /**
   * Returns the table after the record. A record at or before the table's position, and a
   * publication already decided, change nothing but the position.
   */
  public TableRevision call() {
    if (offset <= before.position()) {
      return before;
    }
    if (before.outcome(publication.id()).isPresent()) {
      return before.at(offset);
    }
    PublicationOutcome outcome = decide();
    TableRevision after =
        outcome instanceof PublicationOutcome.Accepted
            ? before.with(publication, offset)
            : before.at(offset);
    return after.decided(publication.id(), outcome);
  }

  private PublicationOutcome decide() {
    List<PublicationOutcome.BadCell> badCells = badCells(publication.changes());
    if (!badCells.isEmpty()) {
      return new PublicationOutcome.Invalid(offset, badCells);
    }
    if (publication.editedFrom() >= offset) {
      return new PublicationOutcome.FromTheFuture(offset, publication.editedFrom());
    }
    List<PublicationOutcome.Conflict> conflicts = conflicts();
    if (!conflicts.isEmpty()) {
      return new PublicationOutcome.Lost(offset, conflicts);
    }
    return new PublicationOutcome.Accepted(offset);
  }

  /** Returns the changes whose values their columns do not allow. */
  public static List<PublicationOutcome.BadCell> badCells(List<CellChange> changes) {
    List<PublicationOutcome.BadCell> bad = new ArrayList<>();
    for (CellChange change : changes) {
      CellRule rule = change.key().column().rule();
      if (change.value() != null && !rule.allows(change.value())) {
        bad.add(new PublicationOutcome.BadCell(change.key(), change.value(), rule.allowed()));
      }
    }
    return List.copyOf(bad);
  }

  private List<PublicationOutcome.Conflict> conflicts() {
    List<PublicationOutcome.Conflict> conflicts = new ArrayList<>();
    for (CellChange change : publication.changes()) {
      Row row = before.rows().getOrDefault(change.key().group(), Row.EMPTY);
      row.cell(change.key().column())
          .filter(cell -> cell.offset() > publication.editedFrom())
          .ifPresent(cell -> conflicts.add(new PublicationOutcome.Conflict(change.key(), cell)));
    }
    return List.copyOf(conflicts);
  }
}
