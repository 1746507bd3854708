// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.RequestOptions;
import java.util.UUID;
import org.fawndrum.platform.standin.CallerStandin;
import org.fawndrum.state.HostAddress;

/** Checks, on a separate connection, whether a host serves requests. */
final class Probe {
  /** Deadline of the request, in milliseconds. */
  private static final long TIMEOUT_MS = 1_000;

  private static final int NOT_FOUND = 404;

  private Probe() {}

  /**
   * Returns whether the host answers 404 to a request for a route that doesn't exist, which it does
   * only once it has its configuration. The request reaches no endpoint.
   */
  static Future<Boolean> isServing(Vertx vertx, HostAddress host) {
    HttpClientAgent client = vertx.createHttpClient();
    String id = UUID.randomUUID().toString();
    RequestOptions options =
        new CallerStandin.Request(host, "/none/1", id, SoakSite.KEY, TIMEOUT_MS, 0).options();
    return client
        .request(options)
        .compose(request -> request.send())
        .map(answer -> answer.statusCode() == NOT_FOUND)
        .recover(cause -> Future.succeededFuture(false))
        .onComplete(done -> client.close());
  }
}
