// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.errors;

import java.util.List;
import java.util.stream.Collectors;
import org.fawndrum.internal.text.MessageText;
import org.fawndrum.state.PublicationOutcome.BadCell;

/** A publication was rejected because values are not valid for their columns. */
public final class BadCellsException extends FawndrumException {
  private static final long serialVersionUID = 1L;
  private final transient List<BadCell> badCells;

  /** Creates the exception for all invalid cells of one publication. */
  public BadCellsException(List<BadCell> badCells) {
    super(MessageText.BAD_CELLS, describe(badCells));
    this.badCells = List.copyOf(badCells);
  }

  private static String describe(List<BadCell> badCells) {
    return badCells.stream()
        .map(bad -> bad.key() + " = '" + bad.value() + "', expected " + bad.allowed())
        .collect(Collectors.joining("; "));
  }

  /** Returns all invalid cells. */
  public List<BadCell> badCells() {
    return badCells;
  }
}
