// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.protocol;

import java.util.List;

/**
 * A page of records of a keyed log. Immutable.
 *
 * @param records the records in log order
 * @param end offset after the last record that was read; reading continues there
 * @param epoch the store's epoch, which these offsets belong to; 0 if the store does not report it
 * @param reachesEnd whether the log contained no other records when the store answered
 */
public record KeyedPage(List<KeyedRecord> records, long end, long epoch, boolean reachesEnd) {
  /**
   * A record.
   *
   * @param offset offset in the log
   * @param key the key
   * @param value the value; empty if the record deletes the key
   */
  public record KeyedRecord(long offset, String key, byte[] value) {
    /** Whether the record deletes its key. */
    public boolean isTombstone() {
      return value.length == 0;
    }
  }

  /** Makes a defensive copy of the records. */
  public KeyedPage {
    records = List.copyOf(records);
  }

  /** Creates a page that reaches the end of the log. */
  public KeyedPage(List<KeyedRecord> records, long end, long epoch) {
    this(records, end, epoch, true);
  }

  /** Creates a page, up to the end of the log, of a store that does not report its epoch. */
  public KeyedPage(List<KeyedRecord> records, long end) {
    this(records, end, 0);
  }

  /** Returns the position after the last record that was read. */
  public StorePosition endPosition() {
    return new StorePosition(epoch, end);
  }

  /** Returns the position after a record of this page. */
  public StorePosition positionAfter(KeyedRecord record) {
    return new StorePosition(epoch, record.offset() + 1);
  }
}
