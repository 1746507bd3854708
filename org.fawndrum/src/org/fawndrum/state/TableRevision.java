// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The table as of a log position. Immutable. Hosts that replayed the same log hold equal revisions.
 */
public final class TableRevision {
  /** Maximum number of publication outcomes that are kept. */
  public static final int MAX_OUTCOMES = 1024;

  /** The table before the first record of the log. */
  public static final TableRevision EMPTY = new TableRevision(-1, -1, Map.of(), Map.of());

  private final long revision;
  private final long position;
  private final Map<CallerGroup, Row> rows;
  private final Map<String, PublicationOutcome> outcomes;

  /**
   * Creates a revision for replay and snapshots.
   *
   * @param revision offset of the last accepted publication, -1 for none
   * @param position offset of the last replayed record, -1 for none
   * @param rows the rows; not copied and must not change
   * @param outcomes the latest outcomes by publication id, oldest first; not copied
   */
  TableRevision(
      long revision,
      long position,
      Map<CallerGroup, Row> rows,
      Map<String, PublicationOutcome> outcomes) {
    this.revision = revision;
    this.position = position;
    this.rows = rows;
    this.outcomes = outcomes;
  }

  /** Returns the offset of the last accepted publication, which never decreases. */
  public long revision() {
    return revision;
  }

  /** Returns the offset of the last replayed record. */
  public long position() {
    return position;
  }

  /** Returns an unmodifiable view of the rows. */
  public Map<CallerGroup, Row> rows() {
    return java.util.Collections.unmodifiableMap(rows);
  }

  /** Returns the row of a group; empty if none of its cells has a published value. */
  public Optional<Row> row(CallerGroup group) {
    Row row = rows.get(group);
    return row == null || !row.inUse() ? Optional.empty() : Optional.of(row);
  }

  /** Returns the outcome of a publication; empty if unknown or no longer kept. */
  public Optional<PublicationOutcome> outcome(String publicationId) {
    return Optional.ofNullable(outcomes.get(publicationId));
  }

  /** Returns the recorded outcomes by publication id, oldest first. */
  public Map<String, PublicationOutcome> outcomes() {
    return java.util.Collections.unmodifiableMap(outcomes);
  }

  /** Returns this table with its position moved to a record that does not change it. */
  public TableRevision withPosition(long offset) {
    return new TableRevision(revision, offset, rows, outcomes);
  }

  /** Returns this table with an outcome added; evicts the oldest one at the limit. */
  TableRevision withOutcome(String id, PublicationOutcome outcome) {
    Map<String, PublicationOutcome> kept = new LinkedHashMap<>(outcomes);
    if (kept.size() >= MAX_OUTCOMES) {
      kept.remove(kept.keySet().iterator().next());
    }
    kept.put(id, outcome);
    return new TableRevision(revision, outcome.offset(), rows, kept);
  }

  /** Returns this table with the cells of an accepted publication. */
  TableRevision withChanges(Publication publication, long offset) {
    Map<CallerGroup, Row> changed = new HashMap<>(rows);
    for (CellChange change : publication.changes()) {
      Cell cell = new Cell(change.value(), offset, publication.operator());
      Row row = changed.getOrDefault(change.key().group(), Row.EMPTY);
      changed.put(change.key().group(), row.with(change.key().column(), cell));
    }
    return new TableRevision(offset, offset, changed, outcomes);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof TableRevision table
        && revision == table.revision
        && position == table.position
        && rows.equals(table.rows)
        && outcomes.equals(table.outcomes);
  }

  @Override
  public int hashCode() {
    return Long.hashCode(revision) * 31 + Long.hashCode(position);
  }

  @Override
  public String toString() {
    return "TableRevision[" + revision + " at " + position + ", " + rows.size() + " rows]";
  }
}
