// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.UUID;
import org.fawndrum.platform.standin.StandinSite;
import org.fawndrum.state.HostAddress;

/** Asks one host, on a connection of its own, whether it serves a plain call. */
final class Probe {
  private static final long WITHIN_MS = 1_000;
  private static final int NOT_FOUND = 404;

  private Probe() {}

  /**
   * Sends a request to a route that does not exist: a host that knows its configuration says so. It
   * reaches no endpoint.
   */
  static Future<Boolean> call(Vertx vertx, HostAddress host) {
    HttpClientAgent client = vertx.createHttpClient();
    RequestOptions options =
        new RequestOptions()
            .setMethod(HttpMethod.POST)
            .setHost(host.ip())
            .setPort(host.port())
            .setURI("/none/1")
            .setTimeout(WITHIN_MS)
            .putHeader("Host", StandinSite.HOST)
            .putHeader("X-Request-Id", UUID.randomUUID().toString())
            .putHeader("X-Credential", SoakSite.KEY)
            .putHeader("X-Request-Deadline-Ms", Long.toString(WITHIN_MS));
    return client
        .request(options)
        .compose(request -> request.send())
        .map(answer -> answer.statusCode() == NOT_FOUND)
        .recover(cause -> Future.succeededFuture(false))
        .onComplete(done -> client.close());
  }
}
