// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.fawndrum.errors.BadCsvException;
import org.fawndrum.state.CallerGroup;
import org.fawndrum.state.Cell;
import org.fawndrum.state.CellChange;
import org.fawndrum.state.CellKey;
import org.fawndrum.state.Column;
import org.fawndrum.state.TableRevision;
import org.fawndrum.state.TableRevisionBuilder;
import org.junit.jupiter.api.Test;

/** Export and re-import yield no changes, and errors name line and column. */
class TableCsvTest {
  private static TableRevision randomTable(long seed) {
    Random random = new Random(seed);
    TableRevisionBuilder builder = new TableRevisionBuilder(5, 9);
    for (int i = 0; i < random.nextInt(12); i++) {
      CallerGroup group = new CallerGroup("w" + random.nextInt(4), "c" + random.nextInt(3));
      Column column = Column.values()[random.nextInt(Column.values().length)];
      String value =
          switch (column) {
            case MODELS -> "m1 m2";
            case ROUTES -> "/a=b /c,d=e".replace(",", "");
            case REPEATABLE -> "yes";
            default -> Integer.toString(1 + random.nextInt(9));
          };
      builder.cell(new CellKey(group, column), new Cell(value, 5, "ana"));
    }
    return builder.build();
  }

  @Property(tries = 500, seed = "61")
  void exportAndReimportYieldNoChanges(@ForAll long seed) {
    TableRevision table = randomTable(seed);
    assertEquals(List.of(), TableCsv.changes(TableCsv.write(table), table));
  }

  @Property(tries = 2_000, seed = "62")
  void anyTextYieldsATableOrATypedException(@ForAll String text) {
    try {
      TableCsv.changes("group,share\n" + text, TableRevision.EMPTY);
    } catch (BadCsvException expected) {
      assertTrue(expected.getMessage().startsWith("line "));
    }
  }

  @Test
  void emptyCellClearsAPublishedValue() {
    CellKey key = new CellKey(new CallerGroup("w", "c"), Column.SHARE);
    TableRevision table = new TableRevisionBuilder(1, 1).cell(key, new Cell("4", 1, "ana")).build();
    assertEquals(
        List.of(new CellChange(key, null)), TableCsv.changes("group,share\nw/c,\n", table));
  }

  @Test
  void invalidValueIsReportedWithLineAndColumn() {
    BadCsvException failure =
        assertThrows(
            BadCsvException.class,
            () -> TableCsv.changes("group,share\nw/c,1\nw/d,many\n", TableRevision.EMPTY));
    assertEquals(
        "line 3, column share: invalid value 'many'; expected a whole number from 1 to"
            + " 1000000",
        failure.getMessage());
  }
}
