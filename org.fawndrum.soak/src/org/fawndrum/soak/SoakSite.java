// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.fawndrum.platform.standin.FixedPorts;
import org.fawndrum.platform.standin.StandinSite;
import org.fawndrum.platform.standin.StoreStandin;
import org.fawndrum.platform.standin.TicketUses;
import org.fawndrum.state.HostAddress;

/**
 * A store, endpoints and daemons, with a proxy before the store for each daemon and one before each
 * endpoint. Its methods are called on the event loop, but for those of the processes.
 */
final class SoakSite {
  /** The key that stays. */
  static final String KEY = "key-1";

  /** The key that may be taken away. */
  static final String VICTIM_KEY = "key-2";

  /** The workspace that both keys belong to. */
  static final String WORKSPACE = "desk";

  /** How many events a whole stream has. */
  private static final int EVENTS = 6;

  /** What a whole stream has as its body. */
  static final String STREAM =
      IntStream.rangeClosed(1, EVENTS)
          .mapToObj(event -> "id: " + event + "\ndata: text " + event + "\n\n")
          .collect(Collectors.joining());

  /** What a whole plain answer has as its body. */
  static final String PLAIN = "answer of service";

  /** After how long a revoked key must not run anything, in milliseconds. */
  static final long REVOKE_MS = 5_000;

  /** The time between the order to stop and the end, in milliseconds. */
  static final long GRACE_MS = 8_000;

  private static final int ENGINES = 3;

  /** Engines that come after the service, so that the faults of a seed strike whom they did. */
  private static final int MORE_ENGINES = 2;

  /** The memory of an engine, in tokens: small, so that engines soon need that of others. */
  private static final String MEMORY = "\"KvCapacity\":100000";

  private static final String USUAL_MEMORY = "\"KvCapacity\":232000";
  private static final String OPERATORS = "keyed.op";
  private static final String ENDPOINTS = "keyed.servers";
  private static final String SERVICE = "service";
  private static final String READY = "ready";
  private static final String LEAVING = "draining";

  /** What another writer may leave in place of an entry. */
  private static final String[] NO_ENTRIES = {
    "{\"Service\":\"pool\"}", "{\"Service\":7,\"State\":", "no entry", "[]"
  };

  /** For how much longer than other faults an endpoint leaves: it must outlast its bound. */
  private static final long LEAVES_MS = 2_500;

  /** How often a copy of the store is taken, in milliseconds, and how many are kept. */
  private static final long COPY_MS = 500;

  private static final int COPIES = 6;

  /** The time from one endpoint to the next that writes its entry again, in milliseconds. */
  private static final long WRITTEN_AGAIN_MS = 250;

  /** How long a proxy tries to connect, in milliseconds. */
  private static final int CONNECT_MS = 1_000;

  private final Vertx vertx;
  private final NetClient client;
  private final Ledger ledger;
  private final int count;
  private final Path folder;
  private final FixedPorts ports = new FixedPorts();
  private final StoreStandin store;
  private final TicketUses uses = new TicketUses();
  private final List<FaultProxy> storeLinks = new ArrayList<>();
  private final List<SoakEndpoint> endpoints = new ArrayList<>();
  private final List<HostProcess> hosts = new CopyOnWriteArrayList<>();
  private final List<HostAddress> callers = new ArrayList<>();
  private final Map<SoakEndpoint, String> saidLast = new HashMap<>();
  private final Deque<StoreStandin.Copy> copies = new ArrayDeque<>();
  private boolean revoked;
  private long version;
  private int spoiled;

  SoakSite(Vertx vertx, Ledger ledger, int hosts, Path folder) {
    this.vertx = vertx;
    this.client = vertx.createNetClient(new NetClientOptions().setConnectTimeout(CONNECT_MS));
    this.ledger = ledger;
    this.count = hosts;
    this.folder = folder;
    this.store = new StoreStandin(vertx);
  }

  /** Starts store, endpoints and proxies, and makes the hosts. */
  Future<Void> start() {
    for (int i = 0; i < ENGINES; i++) {
      endpoints.add(endpoint("engine-" + i, "pool", EVENTS));
    }
    endpoints.add(endpoint(SERVICE, "orders", 0));
    for (int i = ENGINES; i < ENGINES + MORE_ENGINES; i++) {
      endpoints.add(endpoint("engine-" + i, "pool", EVENTS));
    }
    Future<Void> started = Future.succeededFuture();
    for (SoakEndpoint endpoint : endpoints) {
      started = started.compose(v -> endpoint.listen());
    }
    return started.compose(v -> store.listen()).compose(this::startLinks).map(this::makeHosts);
  }

  private SoakEndpoint endpoint(String id, String service, int events) {
    return new SoakEndpoint(
        vertx, client, ledger, uses, id, service, events, back -> endpointSays(back, READY));
  }

  private Future<List<HostAddress>> startLinks(HostAddress storeAt) {
    configure();
    endpoints.forEach(endpoint -> endpointSays(endpoint, READY));
    keepCopy();
    vertx.setPeriodic(COPY_MS, timer -> keepCopy());
    List<HostAddress> links = new ArrayList<>();
    Future<Void> started = Future.succeededFuture();
    for (int i = 0; i < count; i++) {
      FaultProxy link = new FaultProxy(vertx, client, storeAt);
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
    HostSettings settings = new HostSettings(count, ports);
    for (int host = 0; host < count; host++) {
      HostAddress at = settings.freeAddress();
      callers.add(at);
      String text = settings.text(host, at, links.get(host));
      try {
        hosts.add(new HostProcess(HostSettings.name(host), folder, text));
      } catch (IOException e) {
        throw new SoakFailedException("settings of host " + host, e);
      }
    }
    return null;
  }

  private void endpointSays(SoakEndpoint endpoint, String state) {
    if (!endpoint.isSilent()) {
      saidLast.put(endpoint, state);
      store.put(ENDPOINTS, endpoint.id(), endpoint.entry(state));
    }
  }

  /** Brings a newer configuration into the store. */
  void configure() {
    version += 2;
    String[] keys = revoked ? new String[] {KEY} : new String[] {KEY, VICTIM_KEY};
    String configuration = StandinSite.configuration(version, keys);
    store.put(OPERATORS, "config", configuration.replace(USUAL_MEMORY, MEMORY));
  }

  /** Takes the one key away. */
  void revoke() {
    revoked = true;
    configure();
    ledger.revoked(VICTIM_KEY, Soak.nowMs());
  }

  /** Begins or ends a fault of the store or an endpoint; those of processes are not for here. */
  void apply(Fault fault, boolean begins) {
    SoakEndpoint endpoint = endpoints.get(fault.target() % endpoints.size());
    FaultProxy.Mode mode = begins ? fault.mode() : FaultProxy.Mode.PASS;
    switch (fault.kind()) {
      case STORE_BUSY -> store.mode(begins ? StoreStandin.Mode.BUSY : StoreStandin.Mode.SERVING);
      case STORE_SILENT ->
          store.mode(begins ? StoreStandin.Mode.SILENT : StoreStandin.Mode.SERVING);
      case STORE_FORGETS -> store.forgetAll();
      case STORE_LINK -> storeLinks.get(fault.target() % storeLinks.size()).mode(mode);
      case ENDPOINT_LINK -> endpoint.link(mode);
      case ANSWERS_LOST -> endpoint.losesAnswers(begins);
      case SHEDS -> endpoint.sheds(begins);
      case LEAVES -> leave(endpoint, begins);
      case CONFIGURE -> configure();
      case REVOKE -> revoke();
      case ENGINE_SILENT -> silence(endpoint);
      case ENGINE_FORGETS -> engineInsteadOf(endpoint).ifPresent(SoakEndpoint::forget);
      case ENGINE_RESTARTS -> engineInsteadOf(endpoint).ifPresent(this::restart);
      case ENTRY_SPOILED -> spoil(endpoint, begins);
      case SAYS_LEAVING -> sayLeaving(endpoint, begins);
      case ASKS_FOR_REST -> endpoint.asksForRest(begins);
      case STORE_GOES_BACK -> goBack(begins);
      default -> throw new SoakFailedException("fault " + fault, null);
    }
  }

  /** Lets an engine fall silent for good: one that reads a long prompt if there is one. */
  private void silence(SoakEndpoint otherwise) {
    long silent = endpoints.stream().filter(SoakEndpoint::isSilent).count();
    if (silent < Fault.MOST_SILENT) {
      engineInsteadOf(otherwise).ifPresent(SoakEndpoint::fallSilent);
    }
  }

  private void restart(SoakEndpoint engine) {
    engine.startAgain();
    endpointSays(engine, READY);
  }

  /** Lets an endpoint say in its answers alone that it leaves; its next start is there again. */
  private void sayLeaving(SoakEndpoint endpoint, boolean begins) {
    if (begins) {
      endpoint.sayLeaving();
      return;
    }
    vertx.setTimer(
        LEAVES_MS,
        timer -> {
          endpoint.inUse(true);
          restart(endpoint);
        });
  }

  /**
   * The store is away, and comes back from a copy. The operator writes the configuration again at
   * once, the endpoints write their entries one after the other.
   */
  private void goBack(boolean begins) {
    if (begins) {
      store.mode(StoreStandin.Mode.BUSY);
      return;
    }
    store.goBackTo(copies.getFirst());
    copies.clear();
    copies.add(store.copy());
    configure();
    store.mode(StoreStandin.Mode.SERVING);
    long afterMs = 0;
    for (SoakEndpoint endpoint : endpoints) {
      afterMs += WRITTEN_AGAIN_MS;
      vertx.setTimer(afterMs, timer -> endpointSays(endpoint, saidLast.get(endpoint)));
    }
  }

  private void keepCopy() {
    copies.add(store.copy());
    if (copies.size() > COPIES) {
      copies.removeFirst();
    }
  }

  private void leave(SoakEndpoint endpoint, boolean begins) {
    endpoint.inUse(!begins);
    endpointSays(endpoint, begins ? LEAVING : READY);
  }

  /** Writes over the entry of an engine, as another writer does, or lets it write its own again. */
  private void spoil(SoakEndpoint endpoint, boolean begins) {
    endpoint.inUse(!begins);
    if (!begins) {
      endpointSays(endpoint, READY);
    } else if (!endpoint.id().equals(SERVICE)) {
      store.put(ENDPOINTS, endpoint.id(), NO_ENTRIES[spoiled++ % NO_ENTRIES.length]);
    }
  }

  /** Returns an engine that reads a long prompt; if there is none, the one given, if it is one. */
  private Optional<SoakEndpoint> engineInsteadOf(SoakEndpoint otherwise) {
    return endpoints.stream()
        .filter(SoakEndpoint::readsLongPrompt)
        .findFirst()
        .or(() -> Optional.of(otherwise).filter(endpoint -> !endpoint.id().equals(SERVICE)));
  }

  /** Ends every fault of the store and the endpoints but the silence for good. */
  void heal() {
    store.mode(StoreStandin.Mode.SERVING);
    storeLinks.forEach(link -> link.mode(FaultProxy.Mode.PASS));
    for (SoakEndpoint endpoint : endpoints) {
      endpoint.link(FaultProxy.Mode.PASS);
      endpoint.losesAnswers(false);
      endpoint.sheds(false);
      endpoint.asksForRest(false);
      endpoint.inUse(true);
      endpointSays(endpoint, READY);
    }
  }

  /** Ends every daemon for good, and frees their ports. Safe for all threads. */
  void end() {
    hosts.forEach(HostProcess::endForGood);
    ports.close();
  }

  /** Tells whether the log of some host names a request. */
  boolean logsName(String requestId) {
    return hosts.stream().anyMatch(host -> host.logNames(requestId));
  }

  /** Returns the daemons, by their number. */
  List<HostProcess> hosts() {
    return hosts;
  }

  /** Returns where callers of each daemon come in, by its number. */
  List<HostAddress> callers() {
    return callers;
  }
}
