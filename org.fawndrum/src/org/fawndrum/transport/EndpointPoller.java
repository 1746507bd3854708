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
  private final Consumer<HostListing> listed;
  private final EnginePollShare share;
  private final Map<String, LoadReport> loads = new ConcurrentHashMap<>();
  private final Map<String, Boolean> callsInProgress = new ConcurrentHashMap<>();
  private long listTimer;
  private long loadTimer;

  EndpointPoller(
      Vertx vertx,
      HostListSource platform,
      EngineCalls engines,
      DecisionDuty decisions,
      Consumer<HostListing> listed,
      EnginePollShare share) {
    this.listed = listed;
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
                listed.accept(listing);
              }
            });
  }

  private void readLoads() {
    share.enginesToPoll(decisions.view().endpoints()).forEach(this::readLoad);
  }

  /**
   * Returns the loads read since the last call of the engines that this host polls for its peers.
   */
  byte[] digest() {
    Map<String, LoadReport> reports = new HashMap<>();
    Map<String, Long> memory = new HashMap<>();
    for (Endpoint endpoint : share.ownEngines(decisions.view().endpoints())) {
      LoadReport load = loads.get(endpoint.name());
      if (load != null) {
        reports.put(endpoint.name(), load);
        memory.put(endpoint.name(), endpoint.memoryTokens());
      }
    }
    loads.clear();
    return LoadDigest.write(reports, memory);
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
                loads.put(endpoint.name(), load.report());
                decisions.offer(new HostEvent.LoadReported(endpoint.identity(), load));
              }
            });
  }
}
