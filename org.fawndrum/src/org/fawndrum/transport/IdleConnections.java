// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;

/**
 * Closes connections that have no request in progress for too long, including those that stop in
 * the middle of the headers. A connection with a request in progress is never closed. Safe for all
 * threads.
 */
public final class IdleConnections {
  private final Vertx vertx;
  private final LongSupplier firstRequestTimeoutMs;
  private final LongSupplier keepAliveMs;
  private final Map<HttpConnection, Long> timers = new ConcurrentHashMap<>();

  /**
   * Creates the timeouts.
   *
   * @param firstRequestTimeoutMs the time until the first request of a connection, in milliseconds
   * @param keepAliveMs the maximum idle time after an answer, in milliseconds
   */
  public IdleConnections(
      Vertx vertx, LongSupplier firstRequestTimeoutMs, LongSupplier keepAliveMs) {
    this.vertx = vertx;
    this.firstRequestTimeoutMs = firstRequestTimeoutMs;
    this.keepAliveMs = keepAliveMs;
  }

  /** Starts the timeout of a new connection for its first request. */
  public void opened(HttpConnection connection) {
    closeAfter(connection, firstRequestTimeoutMs.getAsLong());
  }

  /** Cancels the timeout of a closed connection. */
  public void closed(HttpConnection connection) {
    cancel(connection);
  }

  /** Cancels the timeout of a connection on which a request was started. */
  public void requestStarted(HttpConnection connection) {
    cancel(connection);
  }

  /** Starts the idle timeout of a connection whose request was answered. */
  public void requestCompleted(HttpConnection connection) {
    closeAfter(connection, keepAliveMs.getAsLong());
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
