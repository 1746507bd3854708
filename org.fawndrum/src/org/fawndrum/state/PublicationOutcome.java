// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

import java.util.List;

/** What replay decided about one publication. The same everywhere, for ever. */
public sealed interface PublicationOutcome {
  /** The log offset at which the outcome was decided. */
  long offset();

  /** The publication is in force from its offset on. */
  record Accepted(long offset) implements PublicationOutcome {}

  /** A cell that it touches was changed by somebody after the revision edited from. */
  record Lost(long offset, List<Conflict> conflicts) implements PublicationOutcome {}

  /** A cell has a value that its column does not allow. */
  record Invalid(long offset, List<BadCell> badCells) implements PublicationOutcome {}

  /** It was edited from a revision that is newer than the log position it was appended at. */
  record FromTheFuture(long offset, long editedFrom) implements PublicationOutcome {}

  /** One cell that somebody else changed first. */
  record Conflict(CellKey key, Cell current) {}

  /** One value that is not allowed. */
  record BadCell(CellKey key, String value, String allowed) {}
}
