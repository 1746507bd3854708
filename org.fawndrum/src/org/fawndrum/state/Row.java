// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/** The cells of one caller group. Immutable; a change creates a new row. */
public final class Row {
  private static final Column[] COLUMNS = Column.values();

  /** Row without any published cell. */
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

  /** Returns this row with one cell replaced. The value must be valid for the column. */
  public Row with(Column column, Cell cell) {
    Cell[] changed = cells.clone();
    changed[column.ordinal()] = cell;
    return new Row(changed);
  }

  /** Returns the published cell, which may be cleared; empty if it was never published. */
  public Optional<Cell> cell(Column column) {
    return Optional.ofNullable(cells[column.ordinal()]);
  }

  /** Whether any cell of the row has a published value. */
  public boolean inUse() {
    for (Cell cell : cells) {
      if (cell != null && cell.value() != null) {
        return true;
      }
    }
    return false;
  }

  /** Returns the effective value: the published one, or the column's default. */
  public String text(Column column) {
    Cell cell = cells[column.ordinal()];
    return cell == null || cell.value() == null ? column.defaultValue() : cell.value();
  }

  /** Returns the effective value of a column of whole numbers; 0 for other columns. */
  public long number(Column column) {
    return numbers[column.ordinal()];
  }

  /** Whether the group may use a model. */
  public boolean allowsModel(String model) {
    return models.contains("*") || models.contains(model);
  }

  /** Whether plain calls of the group may be retried. */
  public boolean repeatable() {
    return "yes".equals(text(Column.REPEATABLE));
  }

  /** Returns the plain service for a path; the longest matching prefix wins. */
  public Optional<String> serviceFor(String path) {
    String best = null;
    int bestLength = -1;
    for (String route : text(Column.ROUTES).split(" ")) {
      int equals = route.indexOf('=');
      if (equals < 0) {
        continue;
      }
      String prefix = route.substring(0, equals);
      if (prefix.length() > bestLength && matchesPrefix(path, prefix)) {
        best = route.substring(equals + 1);
        bestLength = prefix.length();
      }
    }
    return Optional.ofNullable(best);
  }

  private static boolean matchesPrefix(String path, String prefix) {
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
