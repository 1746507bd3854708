// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.proxy;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.fawndrum.coordination.link.ProxySelector;
import org.fawndrum.coordination.membership.FleetMember;
import org.fawndrum.errors.ProxyFailedException;
import org.fawndrum.protocol.wire.ProxyFailure;
import org.fawndrum.protocol.wire.ProxyOpen;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.transport.HostClock;

/** Sends requests through other hosts. Safe for all event loops. */
public final class ProxyClient {
  /**
   * Time within which another host must have a connection to the endpoint, in milliseconds. It
   * gives up its own attempt to connect after 150, and may be busy: the requests of a host without
   * links have no better way.
   */
  private static final long OPEN_TIMEOUT_MS = 400;

  /** Number of hosts that are asked for one request. */
  private static final int MAX_HOSTS = 3;

  /** What the operating system queues for one connection, in bytes. */
  private static final int SEND_BUFFER_BYTES = 64 << 10;

  private final NetClient client;
  private final Supplier<List<FleetMember>> live;
  private final ProxySelector selector;
  private final HostClock clock;

  /**
   * Creates a client.
   *
   * @param live provides the live hosts
   */
  public ProxyClient(
      Vertx vertx, Supplier<List<FleetMember>> live, ProxySelector selector, HostClock clock) {
    this.client =
        vertx.createNetClient(
            new NetClientOptions()
                .setConnectTimeout((int) OPEN_TIMEOUT_MS)
                .setSendBufferSize(SEND_BUFFER_BYTES)
                .setTcpNoDelay(true));
    this.live = live;
    this.selector = selector;
    this.clock = clock;
  }

  /** Returns whether any live host proxies requests. */
  public boolean hasProxies() {
    return live.get().stream().anyMatch(member -> member.proxyPort() > 0);
  }

  /**
   * Asks other hosts, one after the other, for a connection to an endpoint. Fails with a {@link
   * ProxyFailedException} once one says that the endpoint is the cause, or when none could help.
   */
  public Future<EndpointRequest> open(ProxyOpen open) {
    return openAt(open, new HashSet<>(), ProxyFailure.Kind.NO_LINK);
  }

  /**
   * Asks the next host.
   *
   * @param otherwise the failure if there is none
   */
  private Future<EndpointRequest> openAt(
      ProxyOpen open, Set<HostIdentity> asked, ProxyFailure.Kind otherwise) {
    Optional<FleetMember> proxy = selector.take(live.get(), asked, clock.nowMs());
    if (proxy.isEmpty() || asked.size() == MAX_HOSTS) {
      proxy.ifPresent(unused -> selector.released(unused.identity()));
      return Future.failedFuture(new ProxyFailedException(otherwise, ""));
    }
    HostIdentity host = proxy.get().identity();
    asked.add(host);
    return connect(proxy.get(), open)
        .onSuccess(opened -> selector.answered(host))
        .recover(
            cause -> {
              if (cause instanceof ProxyFailedException failure && failure.isEndpointAtFault()) {
                selector.answered(host);
                return Future.failedFuture(failure);
              }
              ProxyFailure.Kind kind = kindOf(cause);
              if (kind == ProxyFailure.Kind.CLOSED) {
                selector.answered(host);
                return openAt(open, asked, kind);
              }
              selector.failed(host, kind != ProxyFailure.Kind.UNSPECIFIED, clock.nowMs());
              return openAt(open, asked, otherwise);
            });
  }

  private static ProxyFailure.Kind kindOf(Throwable cause) {
    return cause instanceof ProxyFailedException failure
        ? failure.kind()
        : ProxyFailure.Kind.UNSPECIFIED;
  }

  private Future<EndpointRequest> connect(FleetMember proxy, ProxyOpen open) {
    HostIdentity host = proxy.identity();
    return client
        .connect(proxy.proxyPort(), proxy.address().ip())
        .onFailure(cause -> selector.released(host))
        .compose(
            socket -> {
              ProxiedRequest request =
                  new ProxiedRequest(socket, host.host(), () -> selector.released(host));
              return request
                  .open(open)
                  .timeout(OPEN_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                  .onFailure(cause -> request.reset());
            });
  }
}
