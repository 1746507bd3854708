// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.fawndrum.coordination.LoadReport;
import org.fawndrum.protocol.HostListSource;
import org.fawndrum.protocol.LoadDigest;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.HostListing;

/** Polls the host list of the platform and the load of the model engines at fixed intervals. */
final class EndpointPoller {
  private static final long LIST_INTERVAL_MS = 1_000;
  private static final long LOAD_INTERVAL_MS = 200;

  private final Vertx vertx;
  private final HostListSource platform;
  private final EngineCalls engines;
  private final DecisionDuty decisions;
  private final Consumer<HostListing> listingListener;
  private final EnginePollShare share;
  private final Map<String, LoadReport> latestLoads = new ConcurrentHashMap<>();

  /** Calls in progress by engine name; the empty name stands for the host list. */
  private final Map<String, Boolean> callsInProgress = new ConcurrentHashMap<>();

  private long listTimer;
  private long loadTimer;

  EndpointPoller(
      Vertx vertx,
      HostListSource platform,
      EngineCalls engines,
      DecisionDuty decisions,
      Consumer<HostListing> listingListener,
      EnginePollShare share) {
    this.listingListener = listingListener;
    this.share = share;
    this.vertx = vertx;
    this.platform = platform;
    this.engines = engines;
    this.decisions = decisions;
  }

  void start() {
    readList();
    listTimer = vertx.setPeriodic(LIST_INTERVAL_MS, id -> readList());
    loadTimer = vertx.setPeriodic(LOAD_INTERVAL_MS, id -> readLoads());
  }

  void stop() {
    vertx.cancelTimer(listTimer);
    vertx.cancelTimer(loadTimer);
  }

  private void readList() {
    if (callsInProgress.putIfAbsent("", Boolean.TRUE) != null) {
      return;
    }
    platform
        .hosts()
        .whenComplete(
            (listing, failure) -> {
              callsInProgress.remove("");
              if (listing != null) {
                listingListener.accept(listing);
              }
            });
  }

  private void readLoads() {
    share.enginesToPoll(decisions.view().eligibleEndpoints()).forEach(this::readLoad);
  }

  /**
   * Returns the encoded loads of the engines that this host polls for its peers, as far as they
   * were read since the previous call.
   */
  byte[] digest() {
    Map<String, LoadReport> reportsByName = new HashMap<>();
    Map<String, Long> memoryTokens = new HashMap<>();
    for (Endpoint endpoint : share.ownEngines(decisions.view().eligibleEndpoints())) {
      LoadReport load = latestLoads.get(endpoint.name());
      if (load != null) {
        reportsByName.put(endpoint.name(), load);
        memoryTokens.put(endpoint.name(), endpoint.memoryTokens());
      }
    }
    latestLoads.clear();
    return LoadDigest.write(reportsByName, memoryTokens);
  }

  private void readLoad(Endpoint endpoint) {
    if (callsInProgress.putIfAbsent(endpoint.name(), Boolean.TRUE) != null) {
      return;
    }
    engines
        .load(endpoint)
        .whenComplete(
            (load, failure) -> {
              callsInProgress.remove(endpoint.name());
              if (load != null) {
                latestLoads.put(endpoint.name(), load.report());
                decisions.offer(new HostEvent.LoadReported(endpoint.identity(), load));
              }
            });
  }
}
