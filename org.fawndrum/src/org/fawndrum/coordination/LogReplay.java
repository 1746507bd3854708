// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fawndrum.state.Publication;
import org.fawndrum.state.PublicationReplay;
import org.fawndrum.state.TableRevision;

/**
 * Replays the log from any starting point. Without a gap, each record is applied as it arrives. If
 * records were deleted from the log before they were replayed, later records are buffered until a
 * snapshot, from the log or a peer, covers the gap. Confined to one thread.
 */
public final class LogReplay {
  private TableRevision table = TableRevision.EMPTY;
  private final List<Entry> buffered = new ArrayList<>();
  private long nextOffset;
  private boolean inGap;
  private long lastSnapshotPosition = -1;

  /** A record of the log, as it affects the table. */
  public sealed interface Entry {
    /** Returns the record's offset. */
    long offset();

    /** A publication of changed cells. */
    record Published(long offset, Publication publication) implements Entry {}

    /** A whole table as of an earlier position. */
    record Snapshot(long offset, TableRevision table) implements Entry {}

    /** A record that does not affect the table. */
    record Other(long offset) implements Entry {}
  }

  /** Returns the table as far as it has been replayed. */
  public TableRevision table() {
    return table;
  }

  /** Returns the offset of the next record to read. */
  public long nextOffset() {
    return nextOffset;
  }

  /** Whether records are missing and a snapshot is needed. */
  public boolean inGap() {
    return inGap;
  }

  /** Returns the number of records replayed since the newest snapshot in the log. */
  public long recordsSinceSnapshot() {
    return table.position() - lastSnapshotPosition;
  }

  /** Returns the position of the newest snapshot read from the log, or -1 if there is none. */
  public long lastSnapshotPosition() {
    return lastSnapshotPosition;
  }

  /** Records that the log begins at {@code first} and earlier records can no longer be read. */
  public void logStartsAt(long first) {
    if (first > nextOffset) {
      inGap = inGap || first > table.position() + 1;
      nextOffset = first;
      buffered.clear();
    }
  }

  /** Replays the record at {@link #nextOffset}. Ignores records at other offsets. */
  public void record(Entry entry) {
    if (entry.offset() != nextOffset) {
      return;
    }
    nextOffset++;
    if (entry instanceof Entry.Snapshot snapshot) {
      lastSnapshotPosition = Math.max(lastSnapshotPosition, snapshot.table().position());
    }
    if (!inGap) {
      apply(entry);
      return;
    }
    buffered.add(entry);
    if (entry instanceof Entry.Snapshot snapshot) {
      adopt(snapshot.table());
    }
  }

  private void apply(Entry entry) {
    if (entry instanceof Entry.Published published) {
      table = new PublicationReplay(table, published.offset(), published.publication()).apply();
    } else if (entry.offset() > table.position()) {
      table = table.withPosition(entry.offset());
    }
  }

  /**
   * Adopts a whole table from a snapshot or a peer, if it is newer than the current one. In a gap,
   * later records are replayed on it only if it covers the gap.
   *
   * @return the table after adoption, or empty if the given one is not newer
   */
  public Optional<TableRevision> adopt(TableRevision snapshot) {
    if (snapshot.position() <= table.position()) {
      return Optional.empty();
    }
    long firstBuffered = buffered.isEmpty() ? nextOffset : buffered.get(0).offset();
    if (inGap && snapshot.position() + 1 < firstBuffered) {
      return adoptBehindGap(snapshot);
    }
    table = snapshot;
    inGap = false;
    for (Entry entry : buffered) {
      if (entry.offset() > snapshot.position()) {
        apply(entry);
      }
    }
    buffered.clear();
    nextOffset = Math.max(nextOffset, table.position() + 1);
    return Optional.of(table);
  }

  /**
   * Adopts a table that does not cover the gap: a newer table is better than an older one even if
   * records after it are missing.
   */
  private Optional<TableRevision> adoptBehindGap(TableRevision snapshot) {
    table = snapshot;
    return Optional.of(table);
  }
}
