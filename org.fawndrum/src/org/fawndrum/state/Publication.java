// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

import java.util.List;

/**
 * An operator's request to change cells, as recorded in the log. Immutable.
 *
 * @param id unique id chosen by the publisher; a second record with the same id has no effect
 * @param operator the operator who publishes
 * @param baseRevision the table revision that the changes are based on
 * @param changes the changed cells only
 */
public record Publication(String id, String operator, long baseRevision, List<CellChange> changes) {
  /** Makes a defensive copy of the changes. */
  public Publication {
    changes = List.copyOf(changes);
  }
}
