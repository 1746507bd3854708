// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.protocol;

import java.util.List;

/**
 * A page of records of a keyed log. Immutable.
 *
 * @param records the records in log order
 * @param end offset after the last record of the log
 * @param epoch the store's epoch, which these offsets belong to; 0 if the store does not report it
 */
public record KeyedPage(List<KeyedRecord> records, long end, long epoch) {
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

  /** Creates a page of a store that does not report its epoch. */
  public KeyedPage(List<KeyedRecord> records, long end) {
    this(records, end, 0);
  }

  /** Returns the position after the last record of the log. */
  public StorePosition endPosition() {
    return new StorePosition(epoch, end);
  }

  /** Returns the position after a record of this page. */
  public StorePosition positionAfter(KeyedRecord record) {
    return new StorePosition(epoch, record.offset() + 1);
  }
}
