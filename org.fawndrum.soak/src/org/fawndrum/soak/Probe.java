// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.RequestOptions;
import java.util.UUID;
import org.fawndrum.platform.standin.CallerStandin;
import org.fawndrum.state.HostAddress;

/** Asks one host, on a connection of its own, whether it serves a plain call. */
final class Probe {
  /** How long a host may take to answer, in milliseconds. */
  private static final long WITHIN_MS = 1_000;

  private static final int NOT_FOUND = 404;

  private Probe() {}

  /**
   * Sends a request to a route that does not exist: a host that knows its configuration says so. It
   * reaches no endpoint.
   */
  static Future<Boolean> call(Vertx vertx, HostAddress host) {
    HttpClientAgent client = vertx.createHttpClient();
    String id = UUID.randomUUID().toString();
    RequestOptions options =
        new CallerStandin.Request(host, "/none/1", id, SoakSite.KEY, WITHIN_MS, 0).options();
    return client
        .request(options)
        .compose(request -> request.send())
        .map(answer -> answer.statusCode() == NOT_FOUND)
        .recover(cause -> Future.succeededFuture(false))
        .onComplete(done -> client.close());
  }
}
