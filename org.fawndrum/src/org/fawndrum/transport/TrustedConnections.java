// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Tracks which connections were opened after this host was registered. Only on those does a retry
 * count of 0 prove that a call is sent for the first time: an earlier call may have waited in a
 * socket while its caller tried another host, which did not know this host yet. Safe for all
 * threads.
 */
final class TrustedConnections {
  private static final long ROUND_MS = 100;
  private static final int MIN_ROUNDS = 10;

  private final Vertx vertx;
  private final Map<HttpConnection, Boolean> trustedByConnection = new ConcurrentHashMap<>();
  private volatile boolean trusting;

  TrustedConnections(Vertx vertx) {
    this.vertx = vertx;
  }

  /**
   * Called once this host is registered. New connections are trusted after ten timer rounds of the
   * event loop. Rounds are counted rather than time, so that all connections that were waiting are
   * accepted before, even if the process was frozen in between.
   */
  void registered() {
    int[] rounds = {0};
    vertx.setPeriodic(
        ROUND_MS,
        timer -> {
          if (++rounds[0] >= MIN_ROUNDS) {
            trusting = true;
            vertx.cancelTimer(timer);
          }
        });
  }

  void opened(HttpConnection connection) {
    trustedByConnection.put(connection, trusting);
  }

  void closed(HttpConnection connection) {
    trustedByConnection.remove(connection);
  }

  boolean trusted(HttpConnection connection) {
    return trustedByConnection.getOrDefault(connection, false);
  }
}
