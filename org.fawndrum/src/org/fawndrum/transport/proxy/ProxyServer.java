// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.proxy;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.fawndrum.errors.AddressUnavailableException;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;
import org.fawndrum.internal.log.LogRateLimiter;
import org.fawndrum.protocol.wire.ProxyOpen;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.HostAddress;
import org.fawndrum.transport.HostClock;

/**
 * Proxies requests of hosts that have lost their links to endpoints. It connects only to endpoints
 * that this host has read itself, and only over its own links, so that no request makes a second
 * hop. Thread-safe.
 */
public final class ProxyServer {
  /**
   * Maximum number of requests at a time. Each has up to 128 KiB in the queues of its connections,
   * so that all of them fit into an eighth of the smallest host's memory.
   */
  private static final int MAX_REQUESTS = 256;

  /** Maximum lines a second about requests that this host proxies. */
  private static final int MAX_LINES_PER_SECOND = 20;

  private final Vertx vertx;
  private final Optional<HostAddress> address;
  private final EndpointConnector connector;
  private final HostClock clock;
  private final HostLog log;
  private final LogRateLimiter lineLimiter = new LogRateLimiter(MAX_LINES_PER_SECOND);
  private final Set<ProxyConnection> open = ConcurrentHashMap.newKeySet();
  private volatile boolean draining;

  /**
   * Creates a server without a listener.
   *
   * @param address where it listens; empty if this host proxies no requests
   */
  public ProxyServer(
      Vertx vertx,
      Optional<HostAddress> address,
      EndpointConnector connector,
      HostClock clock,
      HostLog log) {
    this.vertx = vertx;
    this.address = address;
    this.connector = connector;
    this.clock = clock;
    this.log = log;
  }

  /** Starts to listen, if this host proxies requests; fails if the address is not available. */
  public Future<Void> listen() {
    return address.isEmpty() ? Future.succeededFuture() : listen(address.get());
  }

  private Future<Void> listen(HostAddress at) {
    return vertx
        .createNetServer(new NetServerOptions().setTcpNoDelay(true))
        .connectHandler(this::accept)
        .listen(at.port(), at.ip())
        .<Void>mapEmpty()
        .recover(cause -> Future.failedFuture(new AddressUnavailableException("proxy", at, cause)));
  }

  private void accept(NetSocket socket) {
    boolean accepts = !draining && open.size() < MAX_REQUESTS;
    ProxyConnection connection =
        new ProxyConnection(vertx, socket, connector, accepts, clock, this::opened, open::remove);
    open.add(connection);
  }

  private void opened(ProxyOpen request, Endpoint endpoint) {
    if (lineLimiter.tryAcquire(clock.nowMs())) {
      log.event(
          LogEvent.REQUEST_PROXIED,
          request.getRequestId(),
          request.getFromHost(),
          endpoint.identity());
    }
  }

  /** Accepts no more requests. Those that are open go on. */
  public void drain() {
    draining = true;
  }

  /** Returns the number of open requests of other hosts. */
  public int openRequests() {
    return open.size();
  }
}
