// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.protocol;

import java.util.concurrent.CompletableFuture;

/**
 * Reads the platform's keyed logs. Futures fail with {@code PlatformUnavailableException} when the
 * platform does not answer, and with {@code RecordsExpiredException} when records are gone.
 */
public interface KeyedLog {
  /** A log with keys. */
  enum Topic {
    /** What operators write. */
    OPERATORS,
    /** What endpoints write about themselves. */
    ENDPOINTS
  }

  /** Gives the newest record of each key, and the offset from which to read on. */
  CompletableFuture<KeyedPage> newest(Topic topic);

  /**
   * Gives the records from an offset on, as soon as there is one.
   *
   * @param waitMs the longest wait for a record, in milliseconds; 0 answers at once
   */
  CompletableFuture<KeyedPage> read(Topic topic, long from, long waitMs);
}
