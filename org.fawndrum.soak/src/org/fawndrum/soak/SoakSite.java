// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.fawndrum.platform.standin.EndpointStandin;
import org.fawndrum.platform.standin.StandinSite;
import org.fawndrum.platform.standin.StoreStandin;
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

  static final String WORKSPACE = "desk";

  /** What a whole stream has as its body. */
  static final String STREAM;

  /** What a whole plain answer has as its body. */
  static final String PLAIN = "answer of service";

  /** After how long a revoked key must not run anything, in milliseconds. */
  static final long REVOKE_MS = 5_000;

  /** The time between the order to stop and the end, in milliseconds. */
  static final long GRACE_MS = 8_000;

  private static final int EVENTS = 6;
  private static final int ENGINES = 3;
  private static final String LOOPBACK = "127.0.0.1";
  private static final String OPERATORS = "keyed.op";
  private static final String ENDPOINTS = "keyed.servers";
  private static final int NOT_EXECUTED = 503;

  static {
    StringBuilder stream = new StringBuilder();
    for (int i = 1; i <= EVENTS; i++) {
      stream.append("id: ").append(i).append("\ndata: text ").append(i).append("\n\n");
    }
    STREAM = stream.toString();
  }

  private final Vertx vertx;
  private final NetClient client;
  private final Ledger ledger;
  private final int count;
  private final Path folder;
  private final StoreStandin store;
  private final List<FaultProxy> storeLinks = new ArrayList<>();
  private final List<SoakEndpoint> endpoints = new ArrayList<>();
  private final List<HostProcess> hosts = new ArrayList<>();
  private final List<HostAddress> callers = new ArrayList<>();
  private boolean revoked;
  private long version;

  /** An endpoint, its proxy, and how it behaves. */
  private final class SoakEndpoint implements EndpointStandin.Behaviour {
    final String id;
    final EndpointStandin standin;
    FaultProxy link;
    HostAddress at;
    HostAddress linkAt;
    boolean losesAnswers;
    boolean sheds;

    SoakEndpoint(String id, int events) {
      this.id = id;
      this.standin = new EndpointStandin(vertx, id, events, this);
    }

    @Override
    public boolean answer(EndpointStandin endpoint, HttpServerRequest request, int number) {
      if (sheds) {
        request
            .response()
            .setStatusCode(NOT_EXECUTED)
            .putHeader("X-Not-Executed", "full")
            .putHeader("X-Request-Id", request.getHeader("X-Request-Id"))
            .end();
        return true;
      }
      ledger.ran(request.getHeader("X-Request-Id"), request.uri(), request.getHeader("X-Tenant"));
      if (losesAnswers) {
        request.connection().close();
      }
      return losesAnswers;
    }

    Future<Void> listen() {
      return standin
          .listen()
          .compose(
              address -> {
                at = address;
                link = new FaultProxy(vertx, client, address);
                return link.listen();
              })
          .map(
              address -> {
                linkAt = address;
                return null;
              });
    }

    void says(String state) {
      String service = id.equals("service") ? "orders" : "pool";
      String entry = standin.entry(service, "zone-a", state);
      store.put(ENDPOINTS, id, entry.replace(at.toString(), linkAt.toString()));
    }
  }

  SoakSite(Vertx vertx, Ledger ledger, int hosts, Path folder) {
    this.vertx = vertx;
    this.client = vertx.createNetClient(new NetClientOptions().setConnectTimeout(1_000));
    this.ledger = ledger;
    this.count = hosts;
    this.folder = folder;
    this.store = new StoreStandin(vertx);
  }

  /** Starts store, endpoints and proxies, and makes the hosts. */
  Future<Void> start() {
    for (int i = 0; i < ENGINES; i++) {
      endpoints.add(new SoakEndpoint("engine-" + i, EVENTS));
    }
    endpoints.add(new SoakEndpoint("service", 0));
    Future<Void> started = Future.succeededFuture();
    for (SoakEndpoint endpoint : endpoints) {
      started = started.compose(v -> endpoint.listen());
    }
    return started.compose(v -> store.listen()).compose(this::startLinks).map(this::makeHosts);
  }

  private Future<List<HostAddress>> startLinks(HostAddress storeAt) {
    configure();
    endpoints.forEach(endpoint -> endpoint.says("ready"));
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
    int peerPort = freePort();
    String seeds = "";
    for (int i = 0; i < Math.min(2, count); i++) {
      seeds += (i == 0 ? "" : ",") + "\"" + peerIp(i) + ":1\"";
    }
    for (int i = 0; i < count; i++) {
      HostAddress at = new HostAddress(LOOPBACK, freePort());
      callers.add(at);
      String text =
          String.format(
              Locale.ROOT,
              """
              { "host": "host-%d", "zone": "zone-%s", "callers": "%s", "readiness": "%s:%d",
                "peers": "%s:%d", "metrics": "%s:%d", "platform": "%s", "linkMegabits": %d,
                "seeds": [%s],
                "bounds": { "revokeMs": %d, "drainMs": 2000, "graceS": %d, "retryRatio": 0.2,
                  "retrySlack": 100, "retryWindowS": 10, "streamPassMs": 120 } }
              """,
              i,
              i % 2 == 0 ? "a" : "b",
              at,
              LOOPBACK,
              freePort(),
              peerIp(i),
              peerPort,
              LOOPBACK,
              freePort(),
              links.get(i),
              100 + i,
              seeds,
              REVOKE_MS,
              GRACE_MS / 1_000);
      try {
        hosts.add(new HostProcess("host-" + i, folder, text));
      } catch (IOException e) {
        throw new SoakFailedException("settings of host " + i, e);
      }
    }
    return null;
  }

  private static String peerIp(int host) {
    return "127.0.1." + (host + 1);
  }

  private static int freePort() {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    } catch (IOException e) {
      throw new SoakFailedException("a free port", e);
    }
  }

  /** Brings a newer configuration into the store. */
  void configure() {
    version += 2;
    String[] keys = revoked ? new String[] {KEY} : new String[] {KEY, VICTIM_KEY};
    store.put(OPERATORS, "config", StandinSite.configuration(version, keys));
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
      case ENDPOINT_LINK -> endpoint.link.mode(mode);
      case ANSWERS_LOST -> endpoint.losesAnswers = begins;
      case SHEDS -> endpoint.sheds = begins;
      case LEAVES -> endpoint.says(begins ? "draining" : "ready");
      case CONFIGURE -> configure();
      case REVOKE -> revoke();
      default -> throw new SoakFailedException("fault " + fault, null);
    }
  }

  /** Ends every fault of the store and the endpoints. */
  void heal() {
    store.mode(StoreStandin.Mode.SERVING);
    storeLinks.forEach(link -> link.mode(FaultProxy.Mode.PASS));
    for (SoakEndpoint endpoint : endpoints) {
      endpoint.link.mode(FaultProxy.Mode.PASS);
      endpoint.losesAnswers = false;
      endpoint.sheds = false;
      endpoint.says("ready");
    }
  }

  List<HostProcess> hosts() {
    return hosts;
  }

  List<HostAddress> callers() {
    return callers;
  }
}
