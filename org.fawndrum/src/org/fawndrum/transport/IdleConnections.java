// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;

/**
 * Closes connections on which no request is in progress for too long, such as those that stopped in
 * the middle of the headers. Connections that wait for an answer are left alone, however long.
 */
public final class IdleConnections {
  private final Vertx vertx;
  private final LongSupplier firstRequestMs;
  private final LongSupplier keptMs;
  private final Map<HttpConnection, Long> timers = new ConcurrentHashMap<>();

  /**
   * Makes the watch.
   *
   * @param firstRequestMs the time that a new connection has for its first request
   * @param keptMs how long a connection may rest after an answer
   */
  public IdleConnections(Vertx vertx, LongSupplier firstRequestMs, LongSupplier keptMs) {
    this.vertx = vertx;
    this.firstRequestMs = firstRequestMs;
    this.keptMs = keptMs;
  }

  /** A connection was opened; its first request must come soon. */
  public void opened(HttpConnection connection) {
    closeAfter(connection, firstRequestMs.getAsLong());
  }

  /** A connection was closed. */
  public void closed(HttpConnection connection) {
    cancel(connection);
  }

  /** A request began. */
  public void began(HttpConnection connection) {
    cancel(connection);
  }

  /** A request got its answer. */
  public void ended(HttpConnection connection) {
    closeAfter(connection, keptMs.getAsLong());
  }

  private void closeAfter(HttpConnection connection, long afterMs) {
    cancel(connection);
    timers.put(connection, vertx.setTimer(afterMs, id -> connection.close()));
  }

  private void cancel(HttpConnection connection) {
    Long timer = timers.remove(connection);
    if (timer != null) {
      vertx.cancelTimer(timer);
    }
  }
}
