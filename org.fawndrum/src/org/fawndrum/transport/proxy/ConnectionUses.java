// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.proxy;

import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpConnection;
import java.util.Map;
import java.util.WeakHashMap;

/** Counts the requests on each open connection. Thread-safe. */
public final class ConnectionUses {
  private final Map<HttpConnection, Integer> counts = new WeakHashMap<>();

  /** Counts a request that was opened on its connection. */
  public synchronized ConnectionUse opened(HttpClientRequest request) {
    HttpConnection connection = request.connection();
    int number = counts.merge(connection, 1, Integer::sum);
    return new ConnectionUse(connection.localAddress().port(), number);
  }
}
