// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpMethod;
import java.util.List;
import org.fawndrum.state.HostAddress;

/** Reads the metrics of the daemons. Confined to one event loop. */
final class HostMetrics {
  /** The interval at which the revisions in force are read, in milliseconds. */
  private static final long REVISION_GAP_MS = 100;

  private final Vertx vertx;
  private final HttpClientAgent client;
  private final List<HostAddress> addresses;

  /** Receives the metrics of a host. */
  interface Receiver {
    /**
     * Called with the metrics, unless they could not be read.
     *
     * @param askedMs when they were asked for, in milliseconds of {@link System#nanoTime}
     */
    void received(String text, long askedMs);
  }

  /** Creates a reader of the metrics at these addresses, by index of the daemon. */
  HostMetrics(Vertx vertx, List<HostAddress> addresses) {
    this.vertx = vertx;
    this.client = vertx.createHttpClient();
    this.addresses = addresses;
  }

  /** Reads the metrics of a daemon once. */
  void read(int host, Receiver receiver) {
    long askedMs = Soak.nowMs();
    HostAddress at = addresses.get(host);
    client
        .request(HttpMethod.GET, at.port(), at.ip(), "/metrics")
        .compose(request -> request.send())
        .compose(answer -> answer.body())
        .onSuccess(text -> receiver.received(text.toString(), askedMs));
  }

  /** Has the revisions in force of all daemons checked from now on. */
  void checkRevisions(ConfigurationChecker checker) {
    for (int host = 0; host < addresses.size(); host++) {
      int index = host;
      String name = HostSettings.name(host);
      vertx.setPeriodic(
          REVISION_GAP_MS,
          timer -> read(index, (text, askedMs) -> checker.recordMetrics(name, text, askedMs)));
    }
  }
}
