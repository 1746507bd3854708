// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

/**
 * Identifies a cell of the table.
 *
 * @param group the row
 * @param column the column
 */
public record CellKey(CallerGroup group, Column column) {
  @Override
  public String toString() {
    return group + ":" + column.columnName();
  }
}
