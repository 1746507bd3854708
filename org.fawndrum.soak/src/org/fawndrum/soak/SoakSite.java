// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.fawndrum.platform.standin.FixedPorts;
import org.fawndrum.platform.standin.StoreStandin;
import org.fawndrum.platform.standin.TicketUsage;
import org.fawndrum.state.HostAddress;

/**
 * A store, endpoints and daemons, with one proxy per daemon in front of the store and one in front
 * of each endpoint. Methods are called on the event loop, except those that use the daemons'
 * processes.
 */
final class SoakSite {
  /** The caller key that is never revoked. */
  static final String KEY = "key-1";

  /** The caller key that may be revoked. */
  static final String REVOCABLE_KEY = "key-2";

  /** The workspace of both keys. */
  static final String WORKSPACE = "desk";

  /** Number of events in a complete stream. */
  private static final int EVENTS = 6;

  /** Body of a complete stream. */
  static final String STREAM =
      IntStream.rangeClosed(1, EVENTS)
          .mapToObj(event -> "id: " + event + "\ndata: text " + event + "\n\n")
          .collect(Collectors.joining());

  /** Body of a complete plain answer. */
  static final String PLAIN = "answer of service";

  /** Time after which requests with a revoked key must not run, in milliseconds. */
  static final long REVOKE_MS = 5_000;

  /** Grace period from the stop signal to the kill, in milliseconds. */
  static final long GRACE_MS = 8_000;

  private static final int ENGINES = 3;

  /** Engines added after the service, so that the targets of a seed's faults don't change. */
  private static final int EXTRA_ENGINES = 2;

  /** How long an engine that warms up accepts a rate only, in milliseconds. */
  private static final int START_MS = 6_000;

  /** That rate, in requests a second: well below what the callers would send. */
  private static final double START_PER_SECOND = 2;

  private static final String ENDPOINTS = "keyed.servers";
  private static final String SERVICE = "service";
  private static final String ZONE = "zone-a";

  /** The zone of the extra engines. */
  private static final String OTHER_ZONE = "zone-b";

  private static final String READY = "ready";
  private static final String DRAINING = "draining";

  /** Contents with which another writer may overwrite an entry. */
  private static final String[] INVALID_ENTRIES = {
    "{\"Service\":\"pool\"}", "{\"Service\":7,\"State\":", "no entry", "[]"
  };

  /**
   * Additional duration of a draining notice, in milliseconds: it must last longer than the time
   * within which hosts must react.
   */
  private static final long EXTRA_DRAINING_MS = 2_500;

  /** Rates that endpoints name, in requests a second. */
  private static final String[] RATES = {"1.6", "0.3", "6", "0", "20"};

  /** Additional duration of a named rate, in milliseconds: two windows of its checker. */
  private static final long EXTRA_RATE_MS = 8_000;

  /** Interval at which endpoints rewrite their entries after a restore, in milliseconds. */
  private static final long REWRITE_GAP_MS = 250;

  /** Connect timeout of a proxy, in milliseconds. */
  private static final int CONNECT_TIMEOUT_MS = 1_000;

  private final Vertx vertx;
  private final NetClient client;
  private final PromiseChecker checker;
  private final int hostCount;
  private final SoakLinks hostLinks;
  private final Path folder;
  private final FixedPorts ports = new FixedPorts();
  private final StoreStandin store;
  private final SoakConfiguration configuration;
  private final SoakStore storeFaults;
  private final TicketUsage ticketUsage = new TicketUsage();
  private final List<FaultProxy> storeLinks = new ArrayList<>();
  private final List<SoakEndpoint> endpoints = new ArrayList<>();
  private final List<HostProcess> hosts = new CopyOnWriteArrayList<>();
  private final List<HostAddress> callerAddresses = new ArrayList<>();
  private final List<HostAddress> metricsAddresses = new ArrayList<>();
  private final Map<SoakEndpoint, String> lastState = new HashMap<>();
  private int overwrittenCount;

  /**
   * Creates a site without starting it.
   *
   * @param linksFail whether the daemons' paths to endpoints can fail
   * @param folder the folder for settings and logs of the daemons
   */
  SoakSite(Vertx vertx, PromiseChecker checker, int hosts, boolean linksFail, Path folder) {
    this.vertx = vertx;
    this.client =
        vertx.createNetClient(new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS));
    this.checker = checker;
    this.hostCount = hosts;
    this.hostLinks = new SoakLinks(vertx, checker.links(), hosts, linksFail, this::setImpaired);
    this.folder = folder;
    this.store = new StoreStandin(vertx);
    this.configuration =
        new SoakConfiguration(vertx, store, checker.configurations(), START_MS, START_PER_SECOND);
    this.storeFaults = new SoakStore(vertx, store, storeLinks, checker);
  }

  /** Starts the store, endpoints and proxies, and creates the hosts. */
  Future<Void> start() {
    for (int i = 0; i < ENGINES; i++) {
      endpoints.add(endpoint("engine-" + i, "pool", ZONE, EVENTS));
    }
    endpoints.add(endpoint(SERVICE, "orders", ZONE, 0));
    for (int i = ENGINES; i < ENGINES + EXTRA_ENGINES; i++) {
      endpoints.add(endpoint("engine-" + i, "pool", OTHER_ZONE, EVENTS));
    }
    Future<Void> started = Future.succeededFuture();
    for (SoakEndpoint endpoint : endpoints) {
      started = started.compose(v -> endpoint.listen());
    }
    return started.compose(v -> store.listen()).compose(this::startLinks).map(this::makeHosts);
  }

  private SoakEndpoint endpoint(String id, String service, String zone, int events) {
    return new SoakEndpoint(
        vertx,
        client,
        checker,
        ticketUsage,
        id,
        service,
        zone,
        events,
        restarted -> publishEntry(restarted, READY));
  }

  private Future<List<HostAddress>> startLinks(HostAddress storeAt) {
    configuration.publish();
    endpoints.forEach(endpoint -> publishEntry(endpoint, READY));
    storeFaults.keepCopies();
    List<HostAddress> links = new ArrayList<>();
    Future<Void> started = Future.succeededFuture();
    for (int i = 0; i < hostCount; i++) {
      FaultProxy link = new FaultProxy(vertx, client, storeAt, checker::recordSecondAnswer);
      storeLinks.add(link);
      started =
          started
              .compose(v -> link.listen())
              .map(
                  address -> {
                    links.add(address);
                    return null;
                  });
    }
    return started.map(v -> links);
  }

  private Void makeHosts(List<HostAddress> links) {
    HostSettings settings = new HostSettings(hostCount, ports);
    for (int host = 0; host < hostCount; host++) {
      HostAddress at = settings.freeAddress();
      callerAddresses.add(at);
      HostAddress metrics = settings.freeAddress();
      metricsAddresses.add(metrics);
      String text = settings.text(host, at, metrics, links.get(host));
      try {
        hosts.add(
            new HostProcess(
                HostSettings.name(host),
                folder,
                text,
                hostLinks.open(endpoints, settings),
                HostProcess.OPTIONS));
      } catch (IOException e) {
        throw new SoakFailedException("settings of host " + host, e);
      }
    }
    return null;
  }

  private void setImpaired(boolean impaired) {
    endpoints.forEach(endpoint -> endpoint.setImpaired(impaired));
  }

  private void publishEntry(SoakEndpoint endpoint, String state) {
    if (!endpoint.isHung()) {
      lastState.put(endpoint, state);
      store.put(ENDPOINTS, endpoint.id(), endpoint.entry(state));
    }
  }

  /** Revokes the revocable key. */
  void revokeKey() {
    configuration.revokeKey();
    checker.recordRevocation(REVOCABLE_KEY, Soak.nowMs());
  }

  /** Starts or ends a fault of the store or an endpoint, but not of a process. */
  void apply(Fault fault, boolean begins) {
    SoakEndpoint endpoint = endpoints.get(fault.target() % endpoints.size());
    FaultProxy.Mode mode = begins ? fault.mode() : FaultProxy.Mode.PASS;
    switch (fault.kind()) {
      case STORE_BUSY ->
          storeFaults.mode(begins ? StoreStandin.Mode.BUSY : StoreStandin.Mode.SERVING);
      case STORE_UNRESPONSIVE ->
          storeFaults.mode(begins ? StoreStandin.Mode.SILENT : StoreStandin.Mode.SERVING);
      case STORE_EXPIRES_RECORDS -> store.expireAll();
      case STORE_LINK -> storeFaults.linkMode(fault.target(), mode);
      case ENDPOINT_LINK -> endpoint.setLinkMode(mode);
      case ANSWERS_LOST -> endpoint.setLosesAnswers(begins);
      case REJECTS -> endpoint.setRejects(begins);
      case DRAINS -> drain(endpoint, begins);
      case CONFIGURE -> configuration.publish();
      case CONFIGURE_OFTEN -> configuration.publishOften(begins);
      case REVOKE_KEY -> revokeKey();
      case ENGINE_HANGS -> hangEngine(endpoint);
      case ENGINE_DROPS_WORK -> prefillingEngineOr(endpoint).ifPresent(SoakEndpoint::dropWork);
      case ENGINE_RESTARTS -> prefillingEngineOr(endpoint).ifPresent(this::restart);
      case ENTRY_OVERWRITTEN -> overwriteEntry(endpoint, begins);
      case DRAINING_NOTICE -> announceDraining(endpoint, begins);
      case BACKOFF_NOTICE -> endpoint.setRequestsBackoff(begins);
      case STORE_RESTORED -> restoreStore(begins);
      case ZONE_DRAINED -> storeFaults.drain(endpoint.zone(), begins);
      case RATE_NAMED -> nameRate(endpoint, fault, begins);
      case LINKS_LOST -> hostLinks.lose(fault, begins);
      case ANSWERS_TWICE -> endpoints.forEach(each -> each.setAnswersTwice(begins));
      case ENGINES_WARM_UP -> endpoints.forEach(this::warmUp);
      default -> throw new SoakFailedException("fault " + fault, null);
    }
  }

  /** Makes an engine hang permanently, preferably one that prefills a long prompt. */
  private void hangEngine(SoakEndpoint otherwise) {
    long hungCount = endpoints.stream().filter(SoakEndpoint::isHung).count();
    if (hungCount < Fault.MAX_HUNG_ENGINES) {
      prefillingEngineOr(otherwise).ifPresent(SoakEndpoint::hang);
    }
  }

  private void restart(SoakEndpoint engine) {
    engine.restart();
    publishEntry(engine, READY);
  }

  /** Makes an engine accept only a rate for some seconds; its entry and its answers say so. */
  private void warmUp(SoakEndpoint engine) {
    if (!engine.id().equals(SERVICE) && !engine.isHung()) {
      engine.startSlowly(START_MS, START_PER_SECOND);
      publishEntry(engine, READY);
    }
  }

  /**
   * Makes an endpoint signal only in its answers that it is shutting down; at the end restarts it.
   */
  private void announceDraining(SoakEndpoint endpoint, boolean begins) {
    if (begins) {
      endpoint.announceDraining();
      return;
    }
    vertx.setTimer(
        EXTRA_DRAINING_MS,
        timer -> {
          endpoint.setInUse(true);
          restart(endpoint);
        });
  }

  /**
   * Has an endpoint name a rate, every second time the plain service, which gets most requests; at
   * the end, it names none after some windows of the checker.
   */
  private void nameRate(SoakEndpoint otherwise, Fault fault, boolean begins) {
    boolean plain = fault.durationMs() % 2 == 0;
    SoakEndpoint endpoint = plain ? endpoints.get(ENGINES) : otherwise;
    if (begins) {
      endpoint.nameRate(RATES[(int) (fault.durationMs() / 2 % RATES.length)]);
    } else {
      vertx.setTimer(EXTRA_RATE_MS, timer -> endpoint.nameNoRate());
    }
  }

  /**
   * Makes the store unavailable, or restores it from the oldest copy. The configuration is
   * published again at once; the endpoints rewrite their entries one after the other.
   */
  private void restoreStore(boolean begins) {
    if (begins) {
      storeFaults.mode(StoreStandin.Mode.BUSY);
      return;
    }
    storeFaults.restoreOldestCopy();
    configuration.publish();
    storeFaults.mode(StoreStandin.Mode.SERVING);
    long afterMs = 0;
    for (SoakEndpoint endpoint : endpoints) {
      afterMs += REWRITE_GAP_MS;
      vertx.setTimer(afterMs, timer -> publishEntry(endpoint, lastState.get(endpoint)));
    }
  }

  private void drain(SoakEndpoint endpoint, boolean begins) {
    endpoint.setInUse(!begins);
    publishEntry(endpoint, begins ? DRAINING : READY);
  }

  /** Overwrites an engine's entry, as another writer would, or publishes its own entry again. */
  private void overwriteEntry(SoakEndpoint endpoint, boolean begins) {
    endpoint.setInUse(!begins);
    if (!begins) {
      publishEntry(endpoint, READY);
    } else if (!endpoint.id().equals(SERVICE)) {
      store.put(
          ENDPOINTS, endpoint.id(), INVALID_ENTRIES[overwrittenCount++ % INVALID_ENTRIES.length]);
    }
  }

  /** Returns an engine that prefills a long prompt; otherwise the given endpoint, if an engine. */
  private Optional<SoakEndpoint> prefillingEngineOr(SoakEndpoint otherwise) {
    return endpoints.stream()
        .filter(SoakEndpoint::prefillsLongPrompt)
        .findFirst()
        .or(() -> Optional.of(otherwise).filter(endpoint -> !endpoint.id().equals(SERVICE)));
  }

  /** Ends every fault of the store and the endpoints, except permanent hangs. */
  void endFaults() {
    storeFaults.endFaults();
    hostLinks.endFaults();
    for (SoakEndpoint endpoint : endpoints) {
      endpoint.setLinkMode(FaultProxy.Mode.PASS);
      endpoint.setLosesAnswers(false);
      endpoint.setRejects(false);
      endpoint.setRequestsBackoff(false);
      endpoint.nameNoRate();
      endpoint.setInUse(true);
      publishEntry(endpoint, READY);
    }
  }

  /** Terminates all daemons and releases their ports. Safe for all threads. */
  void close() {
    hosts.forEach(HostProcess::terminate);
    hostLinks.close();
    ports.close();
  }

  /** Whether the log of some host mentions a request. */
  boolean logsMention(String requestId) {
    return hosts.stream().anyMatch(host -> host.logMentions(requestId));
  }

  /** Returns the daemons, by index. */
  List<HostProcess> hosts() {
    return hosts;
  }

  /** Returns the address for callers of each daemon, by index. */
  List<HostAddress> callerAddresses() {
    return callerAddresses;
  }

  /** Returns the address of the metrics of each daemon, by index. */
  List<HostAddress> metricsAddresses() {
    return metricsAddresses;
  }
}
