// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.SocketAddress;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.HostAddress;

/**
 * Selects connections to endpoints. Connections are pooled per incarnation of an endpoint: a
 * request on a connection that was opened to a previous incarnation at the same address would be
 * lost. Connections to previous incarnations are not used again and expire.
 */
public final class EndpointConnections {
  private EndpointConnections() {}

  /**
   * Returns request options that use connections to this incarnation of the endpoint, opened after
   * the link to it was last lost.
   *
   * @param losses how often the link was lost
   */
  public static RequestOptions options(Endpoint endpoint, int losses) {
    HostAddress address = endpoint.address();
    // The client pools connections by server and host. The host name is only part of that key: the
    // Host header is set by the callers' requests and by the requests to engines.
    return new RequestOptions()
        .setServer(SocketAddress.inetSocketAddress(address.port(), address.ip()))
        .setHost(endpoint.name() + "." + endpoint.incarnation() + "." + losses)
        .setPort(address.port());
  }
}
