// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.proxy;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import java.util.Optional;
import org.fawndrum.protocol.wire.ProxyFailure;
import org.fawndrum.protocol.wire.ProxyOpen;
import org.fawndrum.state.Endpoint;

/** The endpoints that this host reaches itself, for requests of other hosts. */
public interface EndpointConnector {
  /**
   * Returns the endpoint that a request is for, as this host knows it; empty if it does not, or if
   * it has lost its own link to it.
   */
  Optional<Endpoint> reachable(ProxyOpen open);

  /**
   * Returns whether the endpoint must get nothing new from this host now, whatever other hosts
   * know: it is draining, its zone is drained, or it asked this host for a backoff.
   */
  boolean isClosed(Endpoint endpoint);

  /** Called with the head of an endpoint's answer to a request, for what it asks of this host. */
  void answered(Endpoint endpoint, String requestId, int status, MultiMap headers);

  /** Returns a request on an open connection; nothing has been written to it. */
  Future<HttpClientRequest> connect(
      Endpoint endpoint, HttpMethod method, String uri, boolean repeatable);

  /** Returns why the endpoint accepts no connection; empty if it does. Never fails. */
  Future<Optional<ProxyFailure.Kind>> check(Endpoint endpoint);

  /**
   * Returns the kind of a failure to connect: {@code NO_LINK} unless this host reaches other
   * endpoints, because it would be the cause itself. Never fails.
   */
  Future<ProxyFailure.Kind> kindOf(Endpoint endpoint, Throwable cause);
}
