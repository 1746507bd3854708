// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.SocketAddress;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.HostAddress;

/**
 * Where requests to an endpoint go. Connections are kept for each start of an endpoint by itself:
 * one that was opened to an earlier start at the same address says nothing any more, and a request
 * on it would be lost. Those of the earlier start are never used again and end after their time.
 */
public final class EndpointConnections {
  private EndpointConnections() {}

  /** Returns options that lead to an endpoint, on connections to this start of it. */
  public static RequestOptions options(Endpoint endpoint) {
    HostAddress at = endpoint.address();
    // The client keeps connections by server and host; the host's name goes into a header that
    // callers' requests and orders set themselves.
    return new RequestOptions()
        .setServer(SocketAddress.inetSocketAddress(at.port(), at.ip()))
        .setHost(endpoint.name() + "." + endpoint.incarnation())
        .setPort(at.port());
  }
}
