// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** Builds a table from stored parts, such as those of a snapshot. Not thread-safe. */
public final class TableRevisionBuilder {
  private final long revision;
  private final long position;
  private final Map<CallerGroup, Row> rows = new HashMap<>();
  private Map<String, PublicationOutcome> outcomes = Map.of();

  /** Creates a builder for a revision at a log position. */
  public TableRevisionBuilder(long revision, long position) {
    this.revision = revision;
    this.position = position;
  }

  /** Adds a cell. */
  public TableRevisionBuilder cell(CellKey key, Cell cell) {
    Row row = rows.getOrDefault(key.group(), Row.EMPTY);
    rows.put(key.group(), row.with(key.column(), cell));
    return this;
  }

  /** Adds a row, which several groups may share. */
  public TableRevisionBuilder row(CallerGroup group, Row row) {
    rows.put(group, row);
    return this;
  }

  /** Sets the recorded outcomes, oldest first. */
  public TableRevisionBuilder outcomes(Map<String, PublicationOutcome> newOutcomes) {
    outcomes = new LinkedHashMap<>(newOutcomes);
    return this;
  }

  /** Returns the table. */
  public TableRevision build() {
    return new TableRevision(revision, position, Map.copyOf(rows), outcomes);
  }
}
