// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;
import org.fawndrum.internal.log.LogRateLimiter;
import org.fawndrum.transport.HostClock;

/**
 * Logs and counts the connections to endpoints that could not be opened, by kind, and knows which
 * endpoints this host failed to connect to last. One host that fails to connect to many endpoints
 * has most likely lost its own links. Thread-safe and non-blocking.
 */
final class ConnectLog {
  /** Maximum lines a second; a host without links fails some hundred times a second. */
  private static final int MAX_LINES_PER_SECOND = 5;

  private final HostClock clock;
  private final HostLog log;
  private final LogRateLimiter lineLimiter = new LogRateLimiter(MAX_LINES_PER_SECOND);
  private final Map<ConnectFailure, Counter> counters = new EnumMap<>(ConnectFailure.class);
  private final Set<String> unreached = new HashSet<>();

  ConnectLog(MetricRegistry registry, HostClock clock, HostLog log) {
    this.clock = clock;
    this.log = log;
    counters.put(ConnectFailure.REFUSED, registry.counter("connectsRefused"));
    counters.put(ConnectFailure.TIMED_OUT, registry.counter("connectsTimedOut"));
    counters.put(ConnectFailure.OTHER, registry.counter("connectsFailed"));
    registry.registerGauge("unreachedEndpoints", this::unreachedCount);
  }

  /** Records that a connection to an endpoint was opened. */
  synchronized void connected(String endpoint) {
    unreached.remove(endpoint);
  }

  /** Records that no connection to an endpoint could be opened. */
  synchronized void failed(String endpoint, Throwable cause) {
    ConnectFailure how = ConnectFailure.of(cause);
    unreached.add(endpoint);
    counters.get(how).inc();
    if (lineLimiter.tryAcquire(clock.nowMs())) {
      log.event(LogEvent.CONNECT_FAILED, endpoint, how, unreached.size());
    }
  }

  /** Forgets endpoints that are not listed any more. */
  synchronized void retain(Set<String> listed) {
    unreached.retainAll(listed);
  }

  private synchronized int unreachedCount() {
    return unreached.size();
  }
}
