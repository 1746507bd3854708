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

  /**
   * How a call is made.
   *
   * @param answerMs how long the platform may take to accept a connection, and then to answer in
   *     addition to a requested wait, in milliseconds
   * @param newConnection whether the call uses a connection of its own, because a kept one may be
   *     dead without either side knowing
   */
  record Call(long answerMs, boolean newConnection) {}

  /** Returns the newest record of each key, and the offset to continue reading from. */
  CompletableFuture<KeyedPage> newest(Topic topic, Call call);

  /**
   * Returns the records from an offset on, as soon as there is at least one.
   *
   * @param waitMs maximum wait for a record, in milliseconds; 0 returns immediately
   */
  CompletableFuture<KeyedPage> read(Topic topic, long from, long waitMs, Call call);
}
