// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.vertx.core.Future;
import io.vertx.core.http.HttpMethod;
import org.fawndrum.errors.ProxyFailedException;
import org.fawndrum.protocol.wire.ProxyFailure;
import org.fawndrum.state.Endpoint;
import org.fawndrum.transport.proxy.EndpointRequest;

/**
 * The ways to endpoints: this host's own links, and other hosts where a link is lost. Safe for all
 * event loops.
 */
public interface EndpointRequests {
  /** Only this host's own links. */
  EndpointRequests DIRECT =
      new EndpointRequests() {
        @Override
        public boolean isLinkLost(Endpoint endpoint) {
          return false;
        }

        @Override
        public int losses(Endpoint endpoint) {
          return 0;
        }

        @Override
        public void unanswered(Endpoint endpoint) {
          // There is no other way to compare with.
        }

        @Override
        public Future<EndpointRequest> throughOtherHost(Endpoint endpoint, Call call) {
          return Future.failedFuture(new ProxyFailedException(ProxyFailure.Kind.NO_LINK, ""));
        }
      };

  /** Returns whether this host's own link to an endpoint is lost. */
  boolean isLinkLost(Endpoint endpoint);

  /**
   * Returns how often the link to an endpoint was lost; connections opened before the last loss
   * must not be used any more.
   */
  int losses(Endpoint endpoint);

  /** Records that an endpoint did not answer over this host's own link, which may be lost. */
  void unanswered(Endpoint endpoint);

  /** Returns a request through another host; fails if none has a connection to the endpoint. */
  Future<EndpointRequest> throughOtherHost(Endpoint endpoint, Call call);

  /**
   * What is known of a request before it is sent.
   *
   * @param method its HTTP method
   * @param uri its URI
   * @param repeatable whether it may use a connection that was used before; not if its outcome must
   *     be known, or if the endpoint had the same request before
   * @param requestId the caller's id; {@link #NO_REQUEST} for calls that are no requests of callers
   * @param remainingMs how long it may take from now on, in milliseconds
   */
  record Call(
      HttpMethod method, String uri, boolean repeatable, String requestId, long remainingMs) {
    /** The id of calls that are no requests of callers. */
    public static final String NO_REQUEST = "";
  }
}
