// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.protocol;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's append-only log. Safe for all threads. Futures fail with {@code
 * PlatformUnavailableException} when the platform does not answer; an append that fails so may have
 * taken effect all the same.
 */
public interface PlatformLog {
  /** Appends a record and gives its offset. */
  CompletableFuture<Long> append(byte[] content);

  /**
   * Reads records from an offset on, at most {@code most}. When the offset has been forgotten, the
   * batch begins at the first one held.
   */
  CompletableFuture<Batch> read(long from, int most);

  /**
   * Records of the log.
   *
   * @param first the first offset that the log still holds
   * @param next the offset that the next append will get
   * @param records the records, in order
   */
  record Batch(long first, long next, List<LogRecord> records) {}

  /** One record. */
  record LogRecord(long offset, byte[] content) {}
}
