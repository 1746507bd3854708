// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Map;
import org.fawndrum.coordination.link.EndpointLinks;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;
import org.fawndrum.internal.log.LogRateLimiter;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.transport.HostClock;
import org.fawndrum.transport.proxy.EndpointRequest;

/**
 * Logs and counts the connections to endpoints that could not be opened, the links that were lost,
 * and the requests that go through other hosts. Thread-safe and non-blocking.
 */
final class LinkLog {
  /**
   * Maximum lines a second of each kind; a host without links fails some hundred times a second.
   */
  private static final int MAX_LINES_PER_SECOND = 5;

  /** Maximum lines a second about requests that go through other hosts. */
  private static final int MAX_REQUEST_LINES_PER_SECOND = 20;

  private final EndpointLinks links;
  private final HostClock clock;
  private final HostLog log;
  private final LogRateLimiter failureLimiter = new LogRateLimiter(MAX_LINES_PER_SECOND);
  private final LogRateLimiter linkLimiter = new LogRateLimiter(MAX_LINES_PER_SECOND);
  private final LogRateLimiter requestLimiter = new LogRateLimiter(MAX_REQUEST_LINES_PER_SECOND);
  private final Map<ConnectFailure, Counter> counters = new EnumMap<>(ConnectFailure.class);
  private final Counter checks;
  private final Counter sentThroughOthers;

  LinkLog(EndpointLinks links, MetricRegistry registry, HostClock clock, HostLog log) {
    this.links = links;
    this.clock = clock;
    this.log = log;
    counters.put(ConnectFailure.REFUSED, registry.counter("connectsRefused"));
    counters.put(ConnectFailure.TIMED_OUT, registry.counter("connectsTimedOut"));
    counters.put(ConnectFailure.OTHER, registry.counter("connectsFailed"));
    this.checks = registry.counter("linkChecks");
    this.sentThroughOthers = registry.counter("sentThroughOtherHosts");
    registry.registerGauge("unreachedEndpoints", links::unreachedCount);
    registry.registerGauge("lostLinks", links::lostCount);
  }

  /** Records that a link is checked. */
  void checked() {
    checks.inc();
  }

  /** Records that no connection to an endpoint could be opened. */
  void connectFailed(String endpoint, Throwable cause) {
    ConnectFailure how = ConnectFailure.of(cause);
    counters.get(how).inc();
    if (failureLimiter.tryAcquire(clock.nowMs())) {
      log.event(LogEvent.CONNECT_FAILED, endpoint, how, links.unreachedCount());
    }
  }

  /** Logs that a link was lost. */
  void lost(HostIdentity endpoint) {
    if (linkLimiter.tryAcquire(clock.nowMs())) {
      log.event(LogEvent.LINK_LOST, endpoint, links.lostCount());
    }
  }

  /** Logs that a link is intact again. */
  void restored(HostIdentity endpoint, long lostForMs) {
    if (linkLimiter.tryAcquire(clock.nowMs())) {
      log.event(LogEvent.LINK_RESTORED, endpoint, lostForMs, links.lostCount());
    }
  }

  /** Records that a request goes through another host. */
  void sentThrough(EndpointRequests.Call call, Endpoint endpoint, EndpointRequest request) {
    sentThroughOthers.inc();
    if (requestLimiter.tryAcquire(clock.nowMs())) {
      log.event(
          LogEvent.REQUEST_SENT_THROUGH, call.requestId(), endpoint.identity(), request.proxy());
    }
  }
}
