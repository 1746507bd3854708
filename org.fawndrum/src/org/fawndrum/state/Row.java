// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/** The cells of one caller group. Immutable; a change makes a new row. */
public final class Row {
  private static final Column[] COLUMNS = Column.values();

  /** A row in which nobody has published anything. */
  public static final Row EMPTY = new Row(new Cell[COLUMNS.length]);

  private final Cell[] cells;
  private final long[] numbers;
  private final List<String> models;

  private Row(Cell[] cells) {
    this.cells = cells;
    this.numbers = new long[COLUMNS.length];
    for (Column column : COLUMNS) {
      boolean numeric = column.rule() instanceof CellRule.WholeNumber;
      numbers[column.ordinal()] = numeric ? Long.parseLong(text(column)) : 0;
    }
    this.models = List.of(text(Column.MODELS).split(" "));
  }

  /** Returns this row with one cell replaced. The value must be allowed by the column. */
  public Row with(Column column, Cell cell) {
    Cell[] changed = cells.clone();
    changed[column.ordinal()] = cell;
    return new Row(changed);
  }

  /** Returns the published cell, which may be a cleared one, or empty. */
  public Optional<Cell> cell(Column column) {
    return Optional.ofNullable(cells[column.ordinal()]);
  }

  /** Tells whether any cell of the row has a published value. */
  public boolean inUse() {
    for (Cell cell : cells) {
      if (cell != null && cell.value() != null) {
        return true;
      }
    }
    return false;
  }

  /** Returns the value in force, which is the column's default where none is published. */
  public String text(Column column) {
    Cell cell = cells[column.ordinal()];
    return cell == null || cell.value() == null ? column.defaultValue() : cell.value();
  }

  /** Returns the value in force of a column of whole numbers; 0 for other columns. */
  public long number(Column column) {
    return numbers[column.ordinal()];
  }

  /** Tells whether the row allows a model. */
  public boolean allowsModel(String model) {
    return models.contains("*") || models.contains(model);
  }

  /** Tells whether plain calls may be sent again. */
  public boolean repeatable() {
    return "yes".equals(text(Column.REPEATABLE));
  }

  /** Returns the plain service that serves a path: that of the longest matching prefix. */
  public Optional<String> serviceFor(String path) {
    String best = null;
    int bestLength = -1;
    for (String route : text(Column.ROUTES).split(" ")) {
      int equals = route.indexOf('=');
      if (equals < 0) {
        continue;
      }
      String prefix = route.substring(0, equals);
      if (prefix.length() > bestLength && underPrefix(path, prefix)) {
        best = route.substring(equals + 1);
        bestLength = prefix.length();
      }
    }
    return Optional.ofNullable(best);
  }

  private static boolean underPrefix(String path, String prefix) {
    if (!path.startsWith(prefix)) {
      return false;
    }
    return prefix.endsWith("/")
        || path.length() == prefix.length()
        || path.charAt(prefix.length()) == '/';
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Row row && Arrays.equals(cells, row.cells);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(cells);
  }
}
