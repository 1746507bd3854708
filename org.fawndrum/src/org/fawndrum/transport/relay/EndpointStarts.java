// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.fawndrum.coordination.limit.StartingEndpoints;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;
import org.fawndrum.internal.log.LogRateLimiter;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.HostListing;
import org.fawndrum.state.RouteTable;
import org.fawndrum.transport.HostClock;

/**
 * Records which endpoints start, and notifies the decision duty when one begins or ends to accept
 * less. Thread-safe; does not block.
 */
final class EndpointStarts implements StartListener {
  /** Maximum log lines a second; a whole zone may start at once. */
  private static final int MAX_LINES_PER_SECOND = 5;

  /** Interval at which ends are looked for while endpoints start, in milliseconds. */
  private static final long CHECK_MS = 250;

  private final StartingEndpoints starts;
  private final Consumer<RelayEvent> events;
  private final Timer timer;
  private final HostClock clock;
  private final HostLog log;
  private final LogRateLimiter lineLimiter = new LogRateLimiter(MAX_LINES_PER_SECOND);
  private final AtomicBoolean checking = new AtomicBoolean();
  private volatile HostListing listing = HostListing.NONE;

  EndpointStarts(
      StartingEndpoints starts,
      Consumer<RelayEvent> events,
      Timer timer,
      HostClock clock,
      MetricRegistry registry,
      HostLog log) {
    this.starts = starts;
    this.events = events;
    this.timer = timer;
    this.clock = clock;
    this.log = log;
    registry.registerGauge("startingEndpoints", () -> starts.limited(clock.nowMs()).size());
  }

  /** Applies a newer configuration, which states the rates. */
  void routesChanged(RouteTable routes) {
    starts.updateServices(routes.services());
  }

  /** Applies a newer list of endpoints, which tells their services. */
  void listingChanged(HostListing newer) {
    listing = newer;
  }

  @Override
  public boolean entryRead(Endpoint endpoint, long remainingMs) {
    if (remainingMs <= 0 && !starts.isAnyKnown()) {
      return false;
    }
    long nowMs = clock.nowMs();
    boolean before = starts.isLimited(endpoint.name(), nowMs);
    boolean isChange = starts.reported(endpoint, remainingMs, nowMs);
    logBegin(endpoint, before, "its entry", nowMs);
    logEnds();
    return isChange;
  }

  /** Called when an endpoint said in an answer how long it still starts. */
  void answered(HostIdentity endpoint, long remainingMs) {
    listed(endpoint)
        .ifPresent(
            listed ->
                begin(listed, "an answer", nowMs -> starts.answered(listed, remainingMs, nowMs)));
  }

  /** Called when a later incarnation of an endpoint was discovered without its entry. */
  void restarted(HostIdentity endpoint) {
    listed(endpoint)
        .ifPresent(
            listed -> begin(listed, "its restart", nowMs -> starts.restarted(listed, nowMs)));
  }

  /** Called when operators took back drained zones. */
  void zonesTakenBack(Set<String> zones) {
    listing.endpoints().stream()
        .filter(endpoint -> zones.contains(endpoint.zone()))
        .forEach(
            endpoint ->
                begin(
                    endpoint,
                    "the end of a drain",
                    nowMs -> starts.zoneTakenBack(List.of(endpoint), nowMs)));
  }

  private void begin(Endpoint endpoint, String why, LongConsumer step) {
    long nowMs = clock.nowMs();
    boolean before = starts.isLimited(endpoint.name(), nowMs);
    step.accept(nowMs);
    logBegin(endpoint, before, why, nowMs);
  }

  private Optional<Endpoint> listed(HostIdentity identity) {
    return listing.endpoints().stream()
        .filter(endpoint -> endpoint.name().equals(identity.host()))
        .findFirst();
  }

  private void logBegin(Endpoint endpoint, boolean before, String why, long nowMs) {
    if (before || !starts.isLimited(endpoint.name(), nowMs)) {
      return;
    }
    long remainingMs = starts.endMs(endpoint.name(), nowMs) - nowMs;
    if (lineLimiter.tryAcquire(nowMs)) {
      double perSecond = starts.perSecond(endpoint.name(), nowMs);
      log.event(LogEvent.ENDPOINT_STARTING, endpoint.identity(), remainingMs, perSecond, why);
    }
    if (checking.compareAndSet(false, true)) {
      timer.runAfter(CHECK_MS, this::checkEnds);
    }
    events.accept(new RelayEvent.RestrictionsChanged());
  }

  /** Logs ends in time as long as endpoints start; an end may move, and entries may be missing. */
  private void checkEnds() {
    logEnds();
    checking.set(false);
    if (starts.isAnyKnown() && checking.compareAndSet(false, true)) {
      timer.runAfter(CHECK_MS, this::checkEnds);
    }
  }

  private void logEnds() {
    long nowMs = clock.nowMs();
    List<String> ended = starts.takeEnded(nowMs);
    if (ended.isEmpty()) {
      return;
    }
    if (lineLimiter.tryAcquire(nowMs)) {
      log.event(LogEvent.ENDPOINTS_STARTED, String.join(" ", ended));
    }
    events.accept(new RelayEvent.RestrictionsChanged());
  }
}
