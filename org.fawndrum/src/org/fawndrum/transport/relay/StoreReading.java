// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.vertx.core.Vertx;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.protocol.KeyedLog;
import org.fawndrum.state.HostListing;
import org.fawndrum.transport.HostClock;

/**
 * What one host reads of the platform's store, and how often: the operators' configuration and the
 * endpoints. Its methods are safe for all threads.
 */
final class StoreReading {
  /** How long a question for the configuration waits; below the bound for revoked keys. */
  private static final long CONFIGURATION_WAIT_MS = 1_500;

  /** The pause between readings of the endpoints, as a part of the drain bound. */
  private static final double ENDPOINTS_PAUSE_PART = 0.35;

  /**
   * At what age of the endpoints, as a part of the drain bound, a host reads them itself. Above a
   * speaker's pause with the time between two questions to it; what is left of the bound is for
   * looking and reading.
   */
  private static final double OWN_ENDPOINTS_PART = 0.7;

  /** The same for the configuration, as a part of the bound for revoked keys. */
  private static final double OWN_CONFIGURATION_PART = 0.6;

  private final Vertx vertx;
  private final KeyedLog store;
  private final RouteStore routes;
  private final Supplier<RelayBounds> bounds;
  private final BooleanSupplier speaks;
  private final HostClock clock;
  private final HostLog log;
  private final ConfigurationReader configuration;
  private final EndpointReader endpoints;
  private final TopicFollower configurationFollower;
  private final TopicFollower endpointsFollower;

  /**
   * Makes what has not begun to read.
   *
   * @param adapter names the store and decodes its records
   * @param routes where the configuration comes into force
   * @param bounds the bounds of revoked keys and of drains
   * @param speaks whether this host speaks for its zone
   * @param listed takes each new list of endpoints
   */
  StoreReading(
      Vertx vertx,
      RelayAdapter adapter,
      RouteStore routes,
      Supplier<RelayBounds> bounds,
      BooleanSupplier speaks,
      Consumer<HostListing> listed,
      HostClock clock,
      HostLog log) {
    this.vertx = vertx;
    this.store = adapter.store();
    this.routes = routes;
    this.bounds = bounds;
    this.speaks = speaks;
    this.clock = clock;
    this.log = log;
    this.configuration = new ConfigurationReader(adapter.decoder(), routes, log);
    this.endpoints = new EndpointReader(adapter.decoder(), listed, clock, log);
    this.configurationFollower = configurationFollower();
    this.endpointsFollower = endpointsFollower();
  }

  private TopicFollower configurationFollower() {
    return follower(
        KeyedLog.Topic.OPERATORS,
        new TopicFollower.Pace(CONFIGURATION_WAIT_MS, 0),
        () -> routes.ageMs(clock.nowMs()),
        () -> (long) (bounds.get().revokeMs() * OWN_CONFIGURATION_PART),
        configuration);
  }

  private TopicFollower endpointsFollower() {
    long pauseMs = (long) (bounds.get().drainMs() * ENDPOINTS_PAUSE_PART);
    return follower(
        KeyedLog.Topic.ENDPOINTS,
        new TopicFollower.Pace(0, pauseMs),
        () -> endpoints.ageMs(clock.nowMs()),
        () -> (long) (bounds.get().drainMs() * OWN_ENDPOINTS_PART),
        endpoints);
  }

  private TopicFollower follower(
      KeyedLog.Topic topic,
      TopicFollower.Pace pace,
      LongSupplier ageMs,
      LongSupplier oldestMs,
      TopicFollower.Reader reader) {
    ReadingShare share = new ReadingShare(speaks, ageMs, oldestMs);
    return new TopicFollower(vertx, store, topic, pace, share, reader, clock, log);
  }

  /** Begins to read; called on the event loop that is to read. */
  void start() {
    configurationFollower.start();
    endpointsFollower.start();
  }

  /** Returns what brings the configuration into force. */
  ConfigurationReader configuration() {
    return configuration;
  }

  /** Returns what keeps the list of endpoints. */
  EndpointReader endpoints() {
    return endpoints;
  }

  /** Returns how far this host has read, to be told to others. */
  StoreView view() {
    return new StoreView(routes.table().revision(), endpoints.changedTo());
  }
}
