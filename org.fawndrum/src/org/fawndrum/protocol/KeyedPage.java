// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.protocol;

import java.util.List;

/**
 * Records of a keyed log.
 *
 * @param records the records in their order
 * @param end the offset after the last record that the log holds
 * @param era the store's era, in which all these offsets are; 0 where it does not tell it
 */
public record KeyedPage(List<KeyedRecord> records, long end, long era) {
  /**
   * One record.
   *
   * @param offset its place in the log
   * @param key its key
   * @param value its value; empty when it drops the key
   */
  public record KeyedRecord(long offset, String key, byte[] value) {
    /** Tells whether the record drops its key. */
    public boolean drops() {
      return value.length == 0;
    }
  }

  /** Copies the list, so that the page cannot change. */
  public KeyedPage {
    records = List.copyOf(records);
  }

  /** Makes the page of a store that does not tell its era. */
  public KeyedPage(List<KeyedRecord> records, long end) {
    this(records, end, 0);
  }

  /** Returns where the log ends. */
  public StorePosition endPosition() {
    return new StorePosition(era, end);
  }

  /** Returns the place after a record of this page. */
  public StorePosition after(KeyedRecord record) {
    return new StorePosition(era, record.offset() + 1);
  }
}
