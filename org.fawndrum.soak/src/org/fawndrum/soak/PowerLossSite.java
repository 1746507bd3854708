// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import io.vertx.core.Future;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.fawndrum.platform.standin.EndpointStandin;
import org.fawndrum.platform.standin.FixedPorts;
import org.fawndrum.platform.standin.StandinSite;
import org.fawndrum.platform.standin.StoreStandin;
import org.fawndrum.platform.standin.TicketUsage;
import org.fawndrum.state.HostAddress;

/**
 * A large site without faults of its own: a store, endpoints, and daemons as separate processes in
 * three zones. Confined to one thread, outside of the event loops.
 */
final class PowerLossSite {
  static final int ZONES = 3;

  /** Hosts of each zone that have a fast link, as on the users' grown sites. */
  private static final int FAST_HOSTS = 2 * ZONES;

  private static final int FAST_MEGABITS = 200;
  private static final int SLOW_MEGABITS = 20;

  /** Events of a stream. */
  private static final int EVENTS = 8;

  /** How long an engine accepts less after its start, in milliseconds; as on the users' site. */
  private static final long STARTING_MS = 3_000;

  /** The first field of the engines' service in the configuration. */
  private static final String ENGINES = "\"Name\":\"pool\",";

  /** Its fields that tell how long an engine accepts less, and how much. */
  private static final String STARTS = "\"ColdStartS\":3.0,\"ColdPerS\":17.0,";

  private static final String ENDPOINTS = "keyed.servers";
  private static final String OPERATORS = "keyed.op";

  private final SoakLoop loops;
  private final FixedPorts ports = new FixedPorts();
  private final HostSettings settings;
  private final StoreStandin store;
  private final int hostCount;
  private final int engines;
  private final int services;
  private final boolean endpointsToo;
  private final List<EndpointStandin> endpoints = new ArrayList<>();
  private final List<HostProcess> hosts = new ArrayList<>();
  private final List<HostAddress> callerAddresses = new ArrayList<>();
  private final List<HostAddress> readinessAddresses = new ArrayList<>();

  /**
   * Creates a site that has not started.
   *
   * @param endpointsToo whether engines accept less after a start, as {@link #restartEndpoints}
   *     needs
   */
  PowerLossSite(SoakLoop loops, int hostCount, int engines, int services, boolean endpointsToo) {
    this.loops = loops;
    this.store = new StoreStandin(loops.vertx());
    this.hostCount = hostCount;
    this.engines = engines;
    this.services = services;
    this.endpointsToo = endpointsToo;
    this.settings =
        new HostSettings(
            hostCount, ZONES, host -> host < FAST_HOSTS ? FAST_MEGABITS : SLOW_MEGABITS, ports);
  }

  /** Starts the store and the endpoints, and creates the hosts. */
  Future<Void> start(Path folder, List<String> options) {
    TicketUsage ticketUsage = new TicketUsage();
    List<Future<HostAddress>> listening = new ArrayList<>();
    for (int i = 0; i < engines + services; i++) {
      EndpointStandin endpoint =
          new EndpointStandin(
              loops.vertx(),
              "i-" + i,
              i < engines ? EVENTS : 0,
              EndpointStandin.Behaviour.HEALTHY,
              ticketUsage);
      endpoints.add(endpoint);
      listening.add(loops.callOnNext(endpoint::listen));
    }
    return Future.all(listening)
        .compose(v -> loops.callOnNext(store::listen))
        .map(
            storeAt -> {
              publish();
              for (int host = 0; host < hostCount; host++) {
                hosts.add(host(host, storeAt, folder, options));
              }
              return null;
            });
  }

  private void publish() {
    String configuration = StandinSite.configuration(1, SoakSite.KEY);
    store.put(
        OPERATORS,
        "config",
        endpointsToo ? configuration.replaceFirst(ENGINES, ENGINES + STARTS) : configuration);
    for (int i = 0; i < endpoints.size(); i++) {
      putEntry(i);
    }
  }

  private void putEntry(int endpoint) {
    String zone = "zone-" + (char) ('a' + endpoint % ZONES);
    String service = endpoint < engines ? "pool" : "orders";
    store.put(ENDPOINTS, "i-" + endpoint, endpoints.get(endpoint).entry(service, zone, "ready"));
  }

  private HostProcess host(int host, HostAddress storeAt, Path folder, List<String> options) {
    HostAddress callers = settings.freeAddress();
    HostAddress readiness = settings.freeAddress();
    callerAddresses.add(callers);
    readinessAddresses.add(readiness);
    String text = settings.text(host, callers, readiness, settings.freeAddress(), storeAt);
    try {
      return new HostProcess(HostSettings.name(host), folder, text, Map.of(), options);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  HostSettings settings() {
    return settings;
  }

  List<HostProcess> hosts() {
    return hosts;
  }

  List<HostAddress> callerAddresses() {
    return callerAddresses;
  }

  List<HostAddress> readinessAddresses() {
    return readinessAddresses;
  }

  /**
   * Takes the power from all endpoints. They are back under later starts after a time in
   * milliseconds, and accept less than usual at first, as on the users' site. Completes when all of
   * them are back; fails if one is not.
   */
  Future<Void> restartEndpoints(long downMs) {
    List<Future<Void>> back = new ArrayList<>();
    for (int i = 0; i < endpoints.size(); i++) {
      int number = i;
      EndpointStandin endpoint = endpoints.get(i);
      back.add(
          loops
              .callOnNext(() -> endpoint.crash(downMs))
              .onSuccess(
                  listening -> {
                    endpoint.startSlowly(number < engines ? STARTING_MS : 0);
                    putEntry(number);
                  }));
    }
    return Future.all(back).mapEmpty();
  }

  /** Terminates all daemons and releases their ports. Safe for all threads. */
  void close() {
    hosts.forEach(HostProcess::terminate);
    ports.close();
  }
}
