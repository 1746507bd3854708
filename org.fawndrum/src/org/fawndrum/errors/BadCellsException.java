// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.errors;

import java.util.List;
import java.util.stream.Collectors;
import org.fawndrum.internal.text.MessageText;
import org.fawndrum.state.PublicationOutcome.BadCell;

/** Cells hold values that their columns do not allow; nothing was published. */
public final class BadCellsException extends FawndrumException {
  private static final long serialVersionUID = 1L;
  private final transient List<BadCell> badCells;

  /** Makes the failure from every bad cell of one publication. */
  public BadCellsException(List<BadCell> badCells) {
    super(MessageText.BAD_CELLS, describe(badCells));
    this.badCells = List.copyOf(badCells);
  }

  private static String describe(List<BadCell> badCells) {
    return badCells.stream()
        .map(bad -> bad.key() + " = '" + bad.value() + "', allowed is " + bad.allowed())
        .collect(Collectors.joining("; "));
  }

  /** Returns every bad cell. */
  public List<BadCell> badCells() {
    return badCells;
  }
}
