// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Closes connections on which no request is in progress for too long, such as those that stopped in
 * the middle of the headers. Connections that wait for an answer are left alone, however long.
 */
final class IdleConnections {
  private static final long KEPT_ALIVE_MS = 60_000;

  private final Vertx vertx;
  private final long firstRequestMs;
  private final Map<HttpConnection, Long> timers = new ConcurrentHashMap<>();

  IdleConnections(Vertx vertx, long firstRequestMs) {
    this.vertx = vertx;
    this.firstRequestMs = firstRequestMs;
  }

  /** A connection was opened; its first request must come soon. */
  void opened(HttpConnection connection) {
    closeAfter(connection, firstRequestMs);
  }

  /** A connection was closed. */
  void closed(HttpConnection connection) {
    cancel(connection);
  }

  /** A request began. */
  void began(HttpConnection connection) {
    cancel(connection);
  }

  /** A request got its answer. */
  void ended(HttpConnection connection) {
    closeAfter(connection, KEPT_ALIVE_MS);
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
