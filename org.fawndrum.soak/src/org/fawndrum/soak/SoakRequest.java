// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import org.fawndrum.platform.standin.StandinSite;
import org.fawndrum.state.HostAddress;

/**
 * A request as all callers send it.
 *
 * @param host the host that it goes to
 * @param path its path
 * @param id its id
 * @param key the key of its workspace
 * @param deadlineMs how long the caller waits, in milliseconds; the host is told
 */
record SoakRequest(HostAddress host, String path, String id, String key, long deadlineMs) {
  /** Returns what the client needs to send it; more headers may be put. */
  RequestOptions options() {
    return new RequestOptions()
        .setMethod(HttpMethod.POST)
        .setHost(host.ip())
        .setPort(host.port())
        .setURI(path)
        .setTimeout(deadlineMs)
        .putHeader("Host", StandinSite.HOST)
        .putHeader("X-Request-Id", id)
        .putHeader("X-Credential", key)
        .putHeader("X-Request-Deadline-Ms", Long.toString(deadlineMs));
  }
}
