// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

import java.util.List;

/** Result of replaying one publication. Every host computes the same result. */
public sealed interface PublicationOutcome {
  /** Log offset of the publication. */
  long offset();

  /** The publication takes effect at its offset. */
  record Accepted(long offset) implements PublicationOutcome {}

  /** A cell that it changes was changed after its base revision (optimistic locking conflict). */
  record Lost(long offset, List<Conflict> conflicts) implements PublicationOutcome {}

  /** A value is not valid for its column. */
  record Invalid(long offset, List<BadCell> badCells) implements PublicationOutcome {}

  /** Its base revision is not older than its own log offset, so it cannot have been read. */
  record UnknownBaseRevision(long offset, long baseRevision) implements PublicationOutcome {}

  /** A cell that another publication changed first, with its current value. */
  record Conflict(CellKey key, Cell current) {}

  /** A value that is not valid, with a description of the valid ones. */
  record BadCell(CellKey key, String value, String allowed) {}
}
