// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import java.util.Optional;
import org.fawndrum.protocol.wire.ProxyFailure;
import org.fawndrum.protocol.wire.ProxyOpen;
import org.fawndrum.state.Endpoint;
import org.fawndrum.transport.proxy.EndpointConnector;

/**
 * Connects to endpoints for other hosts, over this host's own links. What endpoints ask of this
 * host holds for these requests too, since this host sends them. Safe for all event loops.
 */
final class ProxyConnector implements EndpointConnector {
  private final EndpointPaths paths;
  private final EndpointNotices notices;
  private final RelayCodec codec;

  ProxyConnector(EndpointPaths paths, EndpointNotices notices, RelayCodec codec) {
    this.paths = paths;
    this.notices = notices;
    this.codec = codec;
  }

  @Override
  public Optional<Endpoint> reachable(ProxyOpen open) {
    return paths
        .checks()
        .listed(open.getEndpoint())
        .filter(endpoint -> !paths.isLinkLost(endpoint))
        .map(endpoint -> endpoint.withIncarnation(open.getIncarnation()));
  }

  @Override
  public Future<Optional<ProxyFailure.Kind>> check(Endpoint endpoint) {
    return paths
        .checks()
        .check(endpoint)
        .compose(
            failure ->
                failure.isEmpty()
                    ? Future.succeededFuture(Optional.empty())
                    : kindOf(endpoint, failure.get()).map(Optional::of));
  }

  @Override
  public Future<ProxyFailure.Kind> kindOf(Endpoint endpoint, Throwable cause) {
    return kindOf(endpoint, ConnectFailure.of(cause));
  }

  private Future<ProxyFailure.Kind> kindOf(Endpoint endpoint, ConnectFailure failure) {
    ProxyFailure.Kind kind =
        failure == ConnectFailure.REFUSED ? ProxyFailure.Kind.REFUSED : ProxyFailure.Kind.UNREACHED;
    return paths
        .checks()
        .reachesOthers(endpoint)
        .map(reaches -> reaches ? kind : ProxyFailure.Kind.NO_LINK);
  }

  @Override
  public boolean isClosed(Endpoint endpoint) {
    return paths.checks().isDraining(endpoint) || notices.isClosed(endpoint);
  }

  @Override
  public void answered(Endpoint endpoint, String requestId, int status, MultiMap headers) {
    RelayCodec.Answer kind = codec.classifyAnswer(status, headers, requestId);
    if (kind == RelayCodec.Answer.VALID || kind == RelayCodec.Answer.NOT_RUN) {
      notices.noticeReceived(endpoint.identity(), codec.readNotice(status, headers));
    }
  }

  @Override
  public Future<HttpClientRequest> connect(
      Endpoint endpoint, HttpMethod method, String uri, boolean repeatable) {
    return paths.connect(endpoint, method, uri, repeatable);
  }
}
