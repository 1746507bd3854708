// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.protocol;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.MappingIterator;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.dataformat.csv.CsvMapper;
import com.fasterxml.jackson.dataformat.csv.CsvParser;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.fawndrum.errors.BadCsvException;
import org.fawndrum.state.CallerGroup;
import org.fawndrum.state.Cell;
import org.fawndrum.state.CellChange;
import org.fawndrum.state.CellKey;
import org.fawndrum.state.Column;
import org.fawndrum.state.Row;
import org.fawndrum.state.TableRevision;

/** Converts the table from and to CSV for spreadsheets: a header, then a line per caller group. */
public final class TableCsv {
  private static final String GROUP_HEADER = "group";
  private static final CsvMapper MAPPER =
      CsvMapper.builder()
          .enable(CsvParser.Feature.WRAP_AS_ARRAY)
          .enable(CsvParser.Feature.SKIP_EMPTY_LINES)
          .build();

  private TableCsv() {}

  /** Returns the table as CSV; cells without a published value are empty. */
  public static String write(TableRevision table) {
    List<String[]> lines = new ArrayList<>();
    lines.add(header());
    new TreeMap<>(table.rows())
        .forEach(
            (group, row) -> {
              if (row.inUse()) {
                lines.add(line(group, row));
              }
            });
    ObjectWriter writer = MAPPER.writer();
    StringBuilder csv = new StringBuilder();
    try {
      for (String[] line : lines) {
        csv.append(writer.writeValueAsString(line));
      }
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
    return csv.toString();
  }

  private static String[] header() {
    List<String> names = new ArrayList<>();
    names.add(GROUP_HEADER);
    Arrays.stream(Column.values()).map(Column::columnName).forEach(names::add);
    return names.toArray(String[]::new);
  }

  private static String[] line(CallerGroup group, Row row) {
    List<String> values = new ArrayList<>();
    values.add(group.toString());
    for (Column column : Column.values()) {
      values.add(row.cell(column).map(Cell::value).orElse(""));
    }
    return values.toArray(String[]::new);
  }

  /**
   * Parses CSV and returns the cells that differ from a table. An empty cell clears a published
   * value. Rows of the table that are missing in the file are not changed.
   *
   * @throws BadCsvException if the text is not a valid table; names line, column, value and the
   *     valid values
   */
  public static List<CellChange> changes(String csv, TableRevision table) {
    List<String[]> lines = lines(csv);
    if (lines.isEmpty()) {
      throw new BadCsvException(1, GROUP_HEADER, "", "a header line");
    }
    Column[] columns = columns(lines.get(0));
    List<CellChange> changes = new ArrayList<>();
    Set<CallerGroup> seenGroups = new HashSet<>();
    for (int i = 1; i < lines.size(); i++) {
      String[] line = lines.get(i);
      CallerGroup group = group(line, i + 1, seenGroups);
      Row row = table.rows().getOrDefault(group, Row.EMPTY);
      for (int c = 1; c < columns.length; c++) {
        String text = c < line.length ? line[c].strip() : "";
        addChange(changes, new CellKey(group, columns[c]), row, text, i + 1);
      }
    }
    return List.copyOf(changes);
  }

  private static List<String[]> lines(String csv) {
    List<String[]> lines = new ArrayList<>();
    try (MappingIterator<String[]> parsed = MAPPER.readerFor(String[].class).readValues(csv)) {
      while (parsed.hasNextValue()) {
        lines.add(parsed.nextValue());
      }
    } catch (IOException | RuntimeException e) {
      throw new BadCsvException(lines.size() + 1, "1", "", "comma-separated values");
    }
    return lines;
  }

  private static Column[] columns(String[] header) {
    if (!GROUP_HEADER.equals(header[0].strip())) {
      throw new BadCsvException(1, "1", header[0], GROUP_HEADER);
    }
    Column[] columns = new Column[header.length];
    for (int c = 1; c < header.length; c++) {
      columns[c] = Column.named(header[c].strip());
      if (columns[c] == null) {
        String columnNames = String.join(" ", Arrays.copyOfRange(header(), 1, header().length));
        throw new BadCsvException(1, Integer.toString(c + 1), header[c], "one of " + columnNames);
      }
    }
    return columns;
  }

  private static CallerGroup group(String[] line, int number, Set<CallerGroup> seenGroups) {
    CallerGroup group = CallerGroup.parse(line[0].strip());
    if (group == null) {
      throw new BadCsvException(number, GROUP_HEADER, line[0], "workspace/class");
    }
    if (!seenGroups.add(group)) {
      throw new BadCsvException(number, GROUP_HEADER, line[0], "each group once");
    }
    return group;
  }

  private static void addChange(
      List<CellChange> changes, CellKey key, Row row, String text, int line) {
    String published = row.cell(key.column()).map(Cell::value).orElse(null);
    String newValue = text.isEmpty() ? null : text;
    if (newValue != null && !key.column().rule().allows(newValue)) {
      throw new BadCsvException(
          line, key.column().columnName(), newValue, key.column().rule().allowed());
    }
    if (!java.util.Objects.equals(published, newValue)) {
      changes.add(new CellChange(key, newValue));
    }
  }

  /** Returns the rows, sorted by caller group. */
  public static Map<CallerGroup, Row> sorted(TableRevision table) {
    return new TreeMap<>(table.rows());
  }
}
