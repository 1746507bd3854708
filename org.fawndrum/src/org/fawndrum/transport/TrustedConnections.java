// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Tells which connections were opened after this host was registered. Only on those does a caller's
 * count of its sendings prove that a call is sent for the first time: what was sent before may have
 * waited in a socket while the caller tried another host, which did not know this one yet.
 */
final class TrustedConnections {
  private static final long LOOK_MS = 100;
  private static final int LOOKS = 10;

  private final Vertx vertx;
  private final Map<HttpConnection, Boolean> open = new ConcurrentHashMap<>();
  private volatile boolean trusting;

  TrustedConnections(Vertx vertx) {
    this.vertx = vertx;
  }

  /**
   * Takes note that this host is registered. Connections are trusted some rounds of the event loop
   * later, counted in rounds and not in time, so that everything is accepted that waited before,
   * also when the process was frozen meanwhile.
   */
  void registered() {
    int[] looks = {0};
    vertx.setPeriodic(
        LOOK_MS,
        timer -> {
          if (++looks[0] >= LOOKS) {
            trusting = true;
            vertx.cancelTimer(timer);
          }
        });
  }

  void opened(HttpConnection connection) {
    open.put(connection, trusting);
  }

  void closed(HttpConnection connection) {
    open.remove(connection);
  }

  boolean trusted(HttpConnection connection) {
    return open.getOrDefault(connection, false);
  }
}
