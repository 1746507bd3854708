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

/** Reads the platform's list of hosts and the load of the model engines at steady intervals. */
final class EndpointWatch {
  private static final long LIST_MS = 1_000;
  private static final long LOAD_MS = 200;

  private final Vertx vertx;
  private final HostListSource platform;
  private final EngineCalls engines;
  private final DecisionDuty decisions;
  private final Consumer<HostListing> listed;
  private final WatchShare share;
  private final Map<String, LoadReport> loads = new ConcurrentHashMap<>();
  private final Map<String, Boolean> asking = new ConcurrentHashMap<>();
  private long listTimer;
  private long loadTimer;

  EndpointWatch(
      Vertx vertx,
      HostListSource platform,
      EngineCalls engines,
      DecisionDuty decisions,
      Consumer<HostListing> listed,
      WatchShare share) {
    this.listed = listed;
    this.share = share;
    this.vertx = vertx;
    this.platform = platform;
    this.engines = engines;
    this.decisions = decisions;
  }

  void start() {
    readList();
    listTimer = vertx.setPeriodic(LIST_MS, id -> readList());
    loadTimer = vertx.setPeriodic(LOAD_MS, id -> readLoads());
  }

  void stop() {
    vertx.cancelTimer(listTimer);
    vertx.cancelTimer(loadTimer);
  }

  private void readList() {
    if (asking.putIfAbsent("", Boolean.TRUE) != null) {
      return;
    }
    platform
        .hosts()
        .whenComplete(
            (listing, failure) -> {
              asking.remove("");
              if (listing != null) {
                listed.accept(listing);
              }
            });
  }

  private void readLoads() {
    share.due(decisions.view().endpoints()).forEach(this::readLoad);
  }

  /** Returns the load of the endpoints that this host watches for others, as lately read. */
  byte[] digest() {
    Map<String, LoadReport> told = new HashMap<>();
    Map<String, Long> memory = new HashMap<>();
    for (Endpoint endpoint : share.mine(decisions.view().endpoints())) {
      LoadReport one = loads.get(endpoint.name());
      if (one != null) {
        told.put(endpoint.name(), one);
        memory.put(endpoint.name(), endpoint.memoryTokens());
      }
    }
    loads.clear();
    return LoadDigest.write(told, memory);
  }

  private void readLoad(Endpoint endpoint) {
    if (asking.putIfAbsent(endpoint.name(), Boolean.TRUE) != null) {
      return;
    }
    engines
        .load(endpoint)
        .whenComplete(
            (load, failure) -> {
              asking.remove(endpoint.name());
              if (load != null) {
                loads.put(endpoint.name(), load.report());
                decisions.offer(new HostEvent.Loaded(endpoint.identity(), load));
              }
            });
  }
}
