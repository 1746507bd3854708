// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.protocol.KeyedLog;
import org.fawndrum.state.HostListing;
import org.fawndrum.transport.HostClock;

/**
 * Reads the platform's store for one host: the operators' configuration and the endpoints. Its
 * methods are thread-safe, except {@link #start} and {@link #isUnavailable}.
 */
final class StoreReader {
  private final Timer timer;
  private final KeyedLog store;
  private final RouteStore routes;
  private final Supplier<RelayBounds> bounds;
  private final LongSupplier lateMs;
  private final BooleanSupplier leader;
  private final HostClock clock;
  private final HostLog log;
  private final ConfigurationReader configuration;
  private final EndpointReader endpoints;
  private final TopicFollower configurationFollower;
  private final TopicFollower endpointsFollower;

  /**
   * Creates a reader that has not started.
   *
   * @param timer runs steps on the event loop that is to read
   * @param adapter provides the store and decodes its records
   * @param routes receives the configuration and the drained zones
   * @param bounds the limits for revoked keys and for drains
   * @param lateMs for how long a call waits for this host itself, in milliseconds
   * @param leader whether this host reads the store for others, too
   * @param onListing receives each new list of endpoints
   * @param starts receives what the entries of endpoints say about their starts
   */
  StoreReader(
      Timer timer,
      RelayAdapter adapter,
      RouteStore routes,
      Supplier<RelayBounds> bounds,
      LongSupplier lateMs,
      BooleanSupplier leader,
      Consumer<HostListing> onListing,
      StartListener starts,
      HostClock clock,
      HostLog log) {
    this.timer = timer;
    this.store = adapter.store();
    this.routes = routes;
    this.bounds = bounds;
    this.lateMs = lateMs;
    this.leader = leader;
    this.clock = clock;
    this.log = log;
    this.configuration = new ConfigurationReader(adapter.decoder(), routes, clock, log);
    this.endpoints = new EndpointReader(adapter.decoder(), onListing, starts, clock, log);
    this.configurationFollower = configurationFollower();
    this.endpointsFollower = endpointsFollower();
  }

  private StoreTimes times() {
    return new StoreTimes(bounds.get(), lateMs.getAsLong());
  }

  private TopicFollower configurationFollower() {
    return follower(
        KeyedLog.Topic.OPERATORS,
        () -> times().configurationTiming(),
        () -> routes.ageMs(clock.nowMs()),
        () -> times().configurationMaxAgeMs(),
        configuration);
  }

  private TopicFollower endpointsFollower() {
    return follower(
        KeyedLog.Topic.ENDPOINTS,
        () -> times().endpointsTiming(),
        () -> endpoints.ageMs(clock.nowMs()),
        () -> times().endpointsMaxAgeMs(),
        endpoints);
  }

  private TopicFollower follower(
      KeyedLog.Topic topic,
      Supplier<TopicFollower.Timing> timing,
      LongSupplier ageMs,
      LongSupplier maxAgeMs,
      TopicFollower.Reader reader) {
    LogReadSchedule schedule = new LogReadSchedule(leader, ageMs, maxAgeMs);
    return new TopicFollower(timer, store, topic, timing, schedule, reader, clock, log);
  }

  /** Starts reading; called on the event loop that is to read. */
  void start() {
    configurationFollower.start();
    endpointsFollower.start();
  }

  /** Returns whether the store did not answer, or turned this host away, when it was last read. */
  boolean isUnavailable() {
    return configurationFollower.isUnavailable() || endpointsFollower.isUnavailable();
  }

  /** Returns the reader of the configuration. */
  ConfigurationReader configuration() {
    return configuration;
  }

  /** Returns the reader of the endpoints. */
  EndpointReader endpoints() {
    return endpoints;
  }

  /** Returns the store positions that this host has read, to be sent to peers. */
  StorePositions positions() {
    return new StorePositions(
        routes.table().revision(), endpoints.lastChange(), routes.drains().current());
  }
}
