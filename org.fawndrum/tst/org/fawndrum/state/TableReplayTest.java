// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.fawndrum.coordination.LogReplay;
import org.fawndrum.protocol.LogCodec;
import org.fawndrum.protocol.SnapshotCodec;
import org.junit.jupiter.api.Test;

/** Every replay path yields the same table for a log position, and the revision never decreases. */
class TableReplayTest {
  private static final CallerGroup GROUP = new CallerGroup("w", "c");

  private static CellChange change(Column column, String value) {
    return new CellChange(new CellKey(GROUP, column), value);
  }

  private static Publication publication(String id, long baseRevision, CellChange... changes) {
    return new Publication(id, "ana", baseRevision, List.of(changes));
  }

  /** Generates a log of publications, snapshots and other records, some duplicate or invalid. */
  private static List<LogReplay.Entry> log(Random random) {
    List<LogReplay.Entry> log = new ArrayList<>();
    List<TableRevision> tables = new ArrayList<>(List.of(TableRevision.EMPTY));
    int length = 5 + random.nextInt(40);
    for (int offset = 0; offset < length; offset++) {
      TableRevision newest = tables.get(tables.size() - 1);
      int chance = random.nextInt(10);
      LogReplay.Entry entry;
      if (chance < 7) {
        long baseRevision = Math.max(-1, newest.revision() - random.nextInt(4));
        String id = "p" + (random.nextInt(5) == 0 ? random.nextInt(offset + 1) : offset);
        String value = random.nextInt(8) == 0 ? "bad" : Integer.toString(1 + random.nextInt(9));
        Column column = random.nextBoolean() ? Column.SHARE : Column.QUEUE_LENGTH;
        entry =
            new LogReplay.Entry.Published(
                offset, publication(id, baseRevision, change(column, value)));
      } else if (chance < 9) {
        TableRevision old = tables.get(random.nextInt(tables.size()));
        TableRevision decoded = SnapshotCodec.decode(SnapshotCodec.encode(old));
        entry = new LogReplay.Entry.Snapshot(offset, decoded);
      } else {
        entry = new LogReplay.Entry.Other(offset);
      }
      log.add(entry);
      tables.add(replay(log).table());
    }
    return log;
  }

  private static LogReplay replay(List<LogReplay.Entry> log) {
    LogReplay replay = new LogReplay();
    log.forEach(replay::record);
    return replay;
  }

  @Property(tries = 1_000, seed = "21")
  void everyReplayPathToAPositionYieldsTheSameTable(@ForAll long seed) {
    Random random = new Random(seed);
    List<LogReplay.Entry> log = log(random);
    List<TableRevision> tablesByPosition = new ArrayList<>();
    LogReplay fullReplay = new LogReplay();
    for (LogReplay.Entry entry : log) {
      fullReplay.record(entry);
      tablesByPosition.add(fullReplay.table());
    }
    LogReplay lateReplay = new LogReplay();
    long revision = -1;
    int first = 0;
    for (int step = 0; step < 80; step++) {
      int chance = random.nextInt(10);
      if (chance < 6 && lateReplay.nextOffset() < log.size() && lateReplay.nextOffset() >= first) {
        lateReplay.record(log.get((int) lateReplay.nextOffset()));
      } else if (chance < 8) {
        first = Math.max(first, random.nextInt(log.size()));
        lateReplay.logStartsAt(first);
      } else {
        lateReplay.adopt(tablesByPosition.get(random.nextInt(log.size())));
      }
      TableRevision table = lateReplay.table();
      assertTrue(table.revision() >= revision, "the revision decreased");
      revision = table.revision();
      if (table.position() >= 0) {
        assertEquals(tablesByPosition.get((int) table.position()), table);
      }
    }
  }

  @Test
  void secondOfTwoConflictingPublicationsLosesAndNamesTheWinner() {
    TableRevision start =
        new PublicationReplay(
                TableRevision.EMPTY, 0, publication("a", -1, change(Column.SHARE, "1")))
            .apply();
    TableRevision first =
        new PublicationReplay(start, 1, publication("b", 0, change(Column.SHARE, "2"))).apply();
    Publication loser = new Publication("c", "eva", 0, List.of(change(Column.SHARE, "3")));
    TableRevision second = new PublicationReplay(first, 2, loser).apply();
    PublicationOutcome.Lost lost =
        assertInstanceOf(PublicationOutcome.Lost.class, second.outcome("c").orElseThrow());
    assertEquals("ana", lost.conflicts().get(0).current().operator());
    assertEquals("2", second.row(GROUP).orElseThrow().text(Column.SHARE));
    assertEquals(1, second.revision());
  }

  @Test
  void concurrentPublicationsOfDifferentCellsAreBothAccepted() {
    TableRevision first =
        new PublicationReplay(
                TableRevision.EMPTY, 0, publication("a", -1, change(Column.SHARE, "2")))
            .apply();
    TableRevision second =
        new PublicationReplay(first, 1, publication("b", -1, change(Column.IN_FLIGHT, "3")))
            .apply();
    assertEquals(1, second.revision());
    assertEquals("2", second.row(GROUP).orElseThrow().text(Column.SHARE));
  }

  @Test
  void duplicatePublicationHasNoEffect() {
    Publication published = publication("a", -1, change(Column.SHARE, "2"));
    TableRevision first = new PublicationReplay(TableRevision.EMPTY, 0, published).apply();
    TableRevision second = new PublicationReplay(first, 1, published).apply();
    assertEquals(0, second.revision());
    assertInstanceOf(PublicationOutcome.Accepted.class, second.outcome("a").orElseThrow());
  }

  @Test
  void clearedCellConflictsWithAnEditOfAnOlderRevision() {
    TableRevision set =
        new PublicationReplay(
                TableRevision.EMPTY, 0, publication("a", -1, change(Column.SHARE, "2")))
            .apply();
    TableRevision cleared =
        new PublicationReplay(set, 1, publication("b", 0, change(Column.SHARE, null))).apply();
    TableRevision afterConflict =
        new PublicationReplay(cleared, 2, publication("c", 0, change(Column.SHARE, "9"))).apply();
    assertInstanceOf(PublicationOutcome.Lost.class, afterConflict.outcome("c").orElseThrow());
  }

  @Test
  void publicationRoundTripsThroughTheLog() {
    Publication sent =
        publication("a", 7, change(Column.MODELS, "m1 m2"), change(Column.SHARE, null));
    byte[] bytes = LogCodec.publication(sent);
    assertEquals(sent, LogCodec.publication(LogCodec.read(0, bytes).getPublication()));
  }
}
