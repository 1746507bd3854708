// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.protocol;

import java.util.concurrent.CompletableFuture;

/**
 * Reader of the platform's keyed logs. Futures fail with {@code PlatformUnavailableException} if
 * the platform does not answer, and with {@code RecordsExpiredException} if the requested records
 * have expired.
 */
public interface KeyedLog {
  /** A keyed log. */
  enum Topic {
    /** Records written by operators. */
    OPERATORS,
    /** Records that endpoints write about themselves. */
    ENDPOINTS
  }

  /** Returns the newest record of each key, and the offset to continue reading from. */
  CompletableFuture<KeyedPage> newest(Topic topic);

  /**
   * Returns the records from an offset on, as soon as there is at least one.
   *
   * @param waitMs maximum wait for a record, in milliseconds; 0 returns immediately
   */
  CompletableFuture<KeyedPage> read(Topic topic, long from, long waitMs);
}
