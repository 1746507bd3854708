// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

import java.util.List;

/**
 * An operator's wish to change cells, as it stands in the log.
 *
 * @param id unique id chosen by the publisher; the same id appended twice counts once
 * @param operator who publishes
 * @param editedFrom the table revision that the operator saw while editing
 * @param changes the changed cells only
 */
public record Publication(String id, String operator, long editedFrom, List<CellChange> changes) {
  /** Copies the changes, so that the publication cannot change. */
  public Publication {
    changes = List.copyOf(changes);
  }
}
