// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.protocol;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's append-only log. Thread-safe. Futures fail with {@code
 * PlatformUnavailableException} if the platform does not answer; an append that failed this way may
 * still have taken effect.
 */
public interface PlatformLog {
  /** Appends a record and returns its offset. */
  CompletableFuture<Long> append(byte[] content);

  /**
   * Reads up to {@code maxRecords} records from an offset on. If that offset has expired, the batch
   * starts at the first record that the log retains.
   */
  CompletableFuture<Batch> read(long from, int maxRecords);

  /**
   * A batch of log records.
   *
   * @param first the first offset that the log retains
   * @param next the offset of the next append
   * @param records the records, in log order
   */
  record Batch(long first, long next, List<LogRecord> records) {}

  /** A log record. */
  record LogRecord(long offset, byte[] content) {}
}
