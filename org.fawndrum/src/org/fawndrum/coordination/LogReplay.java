// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fawndrum.state.Publication;
import org.fawndrum.state.ReplayPublication;
import org.fawndrum.state.TableRevision;

/**
 * Follows the log from wherever it can. While no record is missing, each is replayed as it comes.
 * When the log has forgotten records that were not replayed yet, records are held until a snapshot
 * covers the gap, from the log or from a peer. Confined to one thread.
 */
public final class LogReplay {
  private TableRevision table = TableRevision.EMPTY;
  private final List<Entry> held = new ArrayList<>();
  private long next;
  private boolean gap;
  private long lastSnapshot = -1;

  /** What a record of the log means to the table. */
  public sealed interface Entry {
    /** The record's offset. */
    long offset();

    /** Changed cells. */
    record Published(long offset, Publication publication) implements Entry {}

    /** A whole table as it was at an earlier position. */
    record Snapshot(long offset, TableRevision table) implements Entry {}

    /** Anything that does not concern the table. */
    record Other(long offset) implements Entry {}
  }

  /** Returns the table as far as it could be replayed. */
  public TableRevision table() {
    return table;
  }

  /** Returns the offset of the next record to read. */
  public long next() {
    return next;
  }

  /** Tells whether records are missing, so that a snapshot is awaited. */
  public boolean inGap() {
    return gap;
  }

  /** Returns how many records were replayed since the newest snapshot in the log. */
  public long sinceSnapshot() {
    return table.position() - lastSnapshot;
  }

  /** Returns the position of the newest snapshot seen in the log, -1 for none. */
  public long lastSnapshot() {
    return lastSnapshot;
  }

  /** Takes note that the log begins at {@code first}: what was before cannot be read any more. */
  public void logBegins(long first) {
    if (first > next) {
      gap = gap || first > table.position() + 1;
      next = first;
      held.clear();
    }
  }

  /** Takes the record at {@link #next}. Others are passed over. */
  public void record(Entry entry) {
    if (entry.offset() != next) {
      return;
    }
    next++;
    if (entry instanceof Entry.Snapshot snapshot) {
      lastSnapshot = Math.max(lastSnapshot, snapshot.table().position());
    }
    if (!gap) {
      apply(entry);
      return;
    }
    held.add(entry);
    if (entry instanceof Entry.Snapshot snapshot) {
      adopt(snapshot.table());
    }
  }

  private void apply(Entry entry) {
    if (entry instanceof Entry.Published published) {
      table = new ReplayPublication(table, published.offset(), published.publication()).call();
    } else if (entry.offset() > table.position()) {
      table = table.at(entry.offset());
    }
  }

  /**
   * Takes a whole table, from a snapshot or from a peer. Taken only when it is newer than the one
   * known and the records after it can be replayed.
   *
   * @return the table after taking it, if it was taken
   */
  public Optional<TableRevision> adopt(TableRevision whole) {
    if (whole.position() <= table.position()) {
      return Optional.empty();
    }
    long firstHeld = held.isEmpty() ? next : held.get(0).offset();
    if (gap && whole.position() + 1 < firstHeld) {
      return adoptBehindGap(whole);
    }
    table = whole;
    gap = false;
    for (Entry entry : held) {
      if (entry.offset() > whole.position()) {
        apply(entry);
      }
    }
    held.clear();
    next = Math.max(next, table.position() + 1);
    return Optional.of(table);
  }

  /** A newer table is better than an older one, even while records between it and now miss. */
  private Optional<TableRevision> adoptBehindGap(TableRevision whole) {
    table = whole;
    return Optional.of(table);
  }
}
