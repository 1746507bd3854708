// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.function.Consumer;
import org.fawndrum.coordination.Action;
import org.fawndrum.coordination.AttemptEvent;
import org.fawndrum.coordination.EndpointRestrictions;
import org.fawndrum.coordination.RequestedBackoffs;
import org.fawndrum.coordination.limit.EndpointRateLimits;
import org.fawndrum.coordination.limit.EndpointRateLimits.Statement;
import org.fawndrum.coordination.limit.EndpointRates;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;
import org.fawndrum.internal.log.LogRateLimiter;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.transport.HostClock;

/**
 * Applies the notices in endpoints' answers: records what limits the sending of requests and
 * notifies the decision duty. Thread-safe; does not block.
 */
final class EndpointNotices implements EndpointNoticeListener {
  /**
   * The step of the host's clock, in milliseconds. A time that is measured from one step to another
   * may be shorter by as much, and an endpoint must not get a request before its backoff is over.
   */
  private static final long CLOCK_STEP_MS = 1;

  /** Maximum log lines a second about notices, and as many about changed rates. */
  private static final int MAX_LINES_PER_SECOND = 5;

  /** Maximum time that the answer to a control request takes, in milliseconds. */
  private static final long MAX_CONTROL_MS = 500;

  private final EndpointRestrictions restrictions;
  private final RequestedBackoffs backoffs;
  private final EndpointRateLimits rateLimits;
  private final EndpointRates rates;
  private final EndpointStarts starts;
  private final Consumer<RelayEvent> events;
  private final Consumer<FleetEvent> fleet;
  private final HostClock clock;
  private final HostLog log;
  private final LogRateLimiter lineLimiter = new LogRateLimiter(MAX_LINES_PER_SECOND);
  private final LogRateLimiter rateLimiter = new LogRateLimiter(MAX_LINES_PER_SECOND);
  private final Counter sentToLimited;
  private final Counter heldBack;

  EndpointNotices(
      EndpointRestrictions restrictions,
      EndpointStarts starts,
      Consumer<RelayEvent> events,
      Consumer<FleetEvent> fleet,
      HostClock clock,
      MetricRegistry registry,
      HostLog log) {
    this.restrictions = restrictions;
    this.backoffs = restrictions.backoffs();
    this.rateLimits = restrictions.rateLimits();
    this.rates = restrictions.rates();
    this.starts = starts;
    this.events = events;
    this.fleet = fleet;
    this.clock = clock;
    this.log = log;
    this.sentToLimited = registry.counter("sentToLimitedEndpoints");
    this.heldBack = registry.counter("permitsTooLate");
    registry.registerGauge("restingEndpoints", () -> backoffs.activeCount(clock.nowMs()));
    registry.registerGauge("limitedEndpoints", () -> rateLimits.limited().size());
  }

  /**
   * Returns why a request must not be sent now to the endpoint on which it was placed, with the
   * helper engines chosen for it; null if it may be.
   */
  AttemptEvent obstacle(Action.Send send) {
    for (Action.Helper helper : send.helpers()) {
      AttemptEvent obstacle = restrictions.helperObstacle(helper.endpoint());
      if (obstacle != null) {
        return obstacle;
      }
    }
    AttemptEvent obstacle =
        restrictions.obstacle(send.endpoint(), send.permitEndMs(), clock.nowMs());
    if (obstacle == AttemptEvent.ENDPOINT_LIMITED) {
      heldBack.inc();
    }
    return obstacle;
  }

  /**
   * Returns whether an endpoint must get no request of this host now, under whatever permit: its
   * zone is drained, or it asked for a backoff.
   */
  boolean isClosed(Endpoint endpoint) {
    return restrictions.obstacle(endpoint, Long.MAX_VALUE, clock.nowMs()) != null;
  }

  /** Called when a request is sent to an endpoint. */
  void requestSent(HostIdentity endpoint) {
    if (rates.isLimited(endpoint.host(), clock.nowMs())) {
      sentToLimited.inc();
    }
  }

  /**
   * Called when an endpoint answered a request.
   *
   * @param sentMs when the request was sent
   */
  void answered(HostIdentity endpoint, EndpointNotice notice, long sentMs) {
    if (notice.equals(EndpointNotice.NONE) && !rateLimits.isLimited(endpoint.host())) {
      return;
    }
    apply(endpoint, notice);
    if (!Double.isNaN(notice.requestsPerSecond())) {
      stated(endpoint, notice.requestsPerSecond(), sentMs);
    }
  }

  /**
   * {@inheritDoc}
   *
   * <p>Answers to control requests limit the rate where they name one. Only answers to requests
   * show that an endpoint names none any more.
   */
  @Override
  public void noticeReceived(HostIdentity endpoint, EndpointNotice notice) {
    apply(endpoint, notice);
    if (notice.requestsPerSecond() < EndpointRateLimits.UNLIMITED) {
      stated(endpoint, notice.requestsPerSecond(), clock.nowMs() - MAX_CONTROL_MS);
    }
  }

  private void stated(HostIdentity endpoint, double perSecond, long sentMs) {
    Statement statement = new Statement(endpoint.host(), perSecond, sentMs, clock.nowMs());
    if (rateLimits.answered(statement)) {
      logRate(statement, "itself");
      fleet.accept(new FleetEvent.RateChanged(endpoint.host()));
      events.accept(new RelayEvent.RestrictionsChanged());
    }
  }

  /** Logs that the rate of an endpoint changed, as reported by the endpoint or another host. */
  void logRate(Statement statement, String by) {
    if (rateLimiter.tryAcquire(clock.nowMs())) {
      log.event(LogEvent.ENDPOINT_RATE, statement.endpoint(), statement.perSecond(), by);
    }
  }

  private void apply(HostIdentity endpoint, EndpointNotice notice) {
    boolean sameRate = notice.requestsPerSecond() == rateLimits.perSecond(endpoint.host());
    boolean news = notice.draining() || notice.backoffMs() > 0 || !sameRate;
    if (news && lineLimiter.tryAcquire(clock.nowMs())) {
      log.event(
          LogEvent.ENDPOINT_NOTICE,
          endpoint,
          notice.draining(),
          notice.backoffMs(),
          notice.requestsPerSecond());
    }
    if (notice.backoffMs() > 0) {
      backoffs.requested(endpoint, notice.backoffMs() + CLOCK_STEP_MS, clock.nowMs());
      events.accept(new RelayEvent.RestrictionsChanged());
    }
    if (notice.startingMs() > 0) {
      starts.answered(endpoint, notice.startingMs());
    }
    if (notice.draining()) {
      events.accept(new RelayEvent.EndpointsShuttingDown(List.of(endpoint), "itself"));
    }
  }
}
