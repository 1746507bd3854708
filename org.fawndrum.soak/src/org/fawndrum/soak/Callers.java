// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.PoolOptions;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import org.fawndrum.platform.standin.CallerStandin;
import org.fawndrum.state.HostAddress;

/**
 * Callers that keep their connections until the host closes them. Each request goes to a host drawn
 * at random. Confined to one event loop.
 */
final class Callers {
  /** The time between two requests, in milliseconds: fifty a second over all hosts. */
  private static final long GAP_MS = 20;

  /** How long a caller waits, in milliseconds: below the time-out of the routes. */
  static final long DEADLINE_MS = 4_000;

  /** One request in so many carries the key that may be revoked. */
  private static final int VICTIM_PART = 4;

  /** The connections of the callers to each host. */
  private static final int CONNECTIONS = 20;

  /** How long a caller tries to connect, in milliseconds. */
  private static final int CONNECT_MS = 1_000;

  /** The length of a streamed request's prompt, in tokens: from the shortest up by the spread. */
  private static final int SHORTEST_PROMPT = 500;

  private static final int PROMPT_SPREAD = 50_000;

  /** The route of long prompts, whose first token may take longer than two seconds. */
  static final String LONG = "review";

  /** The time between two long prompts, in milliseconds. */
  private static final long LONG_GAP_MS = 1_200;

  /** How long the caller of a long prompt waits, in milliseconds. */
  static final long LONG_DEADLINE_MS = 12_000;

  /** The length of a long prompt, in tokens: more than an engine's memory. */
  private static final int SHORTEST_LONG = 110_000;

  private static final int LONG_SPREAD = 40_000;

  /** How many callers ask a stopping host again and again, on connections of their own. */
  private static final int STAYING = 2;

  /** The pause of such a caller after an answer, in milliseconds. */
  private static final long STAYING_PAUSE_MS = 20;

  /** What the paths of requests begin with that end engines. */
  static final String DEADLY = "/ask/deadly-";

  /** How often such a request comes, and the time between two of them, in milliseconds. */
  private static final int DEADLY_TIMES = 16;

  private static final long DEADLY_GAP_MS = 400;

  /** What stands in an answer whose endpoint leaves, and before the endpoint's name in its seal. */
  private static final String LEAVING = "Server-Leaving";

  private static final String SEAL = "seal-";

  private static final List<String> ROUTES = List.of("ask", "tell", "once", "look");

  private final Vertx vertx;
  private final List<HostAddress> hosts;
  private final Ledger ledger;
  private final Random random;

  /** Decides on long prompts, so that the other requests of a seed stay. */
  private final Random longRandom;

  /** Decides on requests that end engines, so that the other requests of a seed stay. */
  private final Random deadlyRandom;

  private final HttpClientAgent client;
  private final HttpClientAgent stayingClient;
  private long timer;
  private long longTimer;
  private HostAddress stopping;
  private int count;
  private int deadly;
  private int open;

  Callers(Vertx vertx, List<HostAddress> hosts, Ledger ledger, long seed) {
    this.vertx = vertx;
    this.hosts = hosts;
    this.ledger = ledger;
    this.random = new Random(seed);
    this.longRandom = new Random(~seed);
    this.deadlyRandom = new Random(seed + 1);
    this.client = client(CONNECTIONS);
    this.stayingClient = client(STAYING);
  }

  private HttpClientAgent client(int connections) {
    return vertx.createHttpClient(
        new HttpClientOptions().setConnectTimeout(CONNECT_MS),
        new PoolOptions().setHttp1MaxSize(connections));
  }

  /** Begins to send. */
  void start() {
    timer = vertx.setPeriodic(GAP_MS, id -> send(hosts.get(random.nextInt(hosts.size()))));
    longTimer = vertx.setPeriodic(LONG_GAP_MS, id -> sendLong(client, anyHost()));
  }

  /** Sends nothing more; answers still come. */
  void stop() {
    vertx.cancelTimer(timer);
    vertx.cancelTimer(longTimer);
  }

  /** Returns how many requests wait for the end of their answers. */
  int open() {
    return open;
  }

  /** Lets some callers ask one host for long prompts, one after the other, until it has ended. */
  void stay(int host) {
    stopping = hosts.get(host);
    for (int i = 0; i < STAYING; i++) {
      ask(stopping);
    }
  }

  /** Ends what the method before began. */
  void leave() {
    stopping = null;
  }

  private void ask(HostAddress host) {
    if (host.equals(stopping)) {
      sendLong(stayingClient, host)
          .onComplete(done -> vertx.setTimer(STAYING_PAUSE_MS, id -> ask(host)));
    }
  }

  private HostAddress anyHost() {
    return hosts.get(longRandom.nextInt(hosts.size()));
  }

  private Future<Void> sendLong(HttpClientAgent over, HostAddress host) {
    String id = "s-" + ++count;
    String path = "/" + LONG + "/" + count;
    ledger.sent(id, new Ledger.Sent(path, true, SoakSite.KEY, SoakSite.STREAM, Soak.nowMs()));
    long prompt = SHORTEST_LONG + longRandom.nextInt(LONG_SPREAD);
    return send(
        over, new CallerStandin.Request(host, path, id, SoakSite.KEY, LONG_DEADLINE_MS, prompt));
  }

  /** Begins to send a request again and again that ends each engine that runs it. */
  void sendDeadly() {
    sendDeadly(DEADLY + ++deadly, DEADLY_TIMES);
  }

  private void sendDeadly(String path, int times) {
    String id = "s-" + ++count;
    HostAddress host = hosts.get(deadlyRandom.nextInt(hosts.size()));
    ledger.sent(id, new Ledger.Sent(path, true, SoakSite.KEY, SoakSite.STREAM, Soak.nowMs()));
    ledger.crashes().sent(id, HostSettings.name(hosts.indexOf(host)));
    send(
        client,
        new CallerStandin.Request(host, path, id, SoakSite.KEY, DEADLINE_MS, SHORTEST_PROMPT));
    if (times > 1) {
      vertx.setTimer(DEADLY_GAP_MS, timer -> sendDeadly(path, times - 1));
    }
  }

  /** Sends one request to a host. */
  private void send(HostAddress host) {
    String id = "s-" + ++count;
    String route = ROUTES.get(random.nextInt(ROUTES.size()));
    String path = "/" + route + "/" + count;
    boolean stream = route.equals("ask") || route.equals("tell");
    boolean repeatable = route.equals("ask") || route.equals("look");
    String key = random.nextInt(VICTIM_PART) == 0 ? SoakSite.VICTIM_KEY : SoakSite.KEY;
    String body = stream ? SoakSite.STREAM : SoakSite.PLAIN;
    ledger.sent(id, new Ledger.Sent(path, repeatable, key, body, Soak.nowMs()));
    long prompt = stream ? SHORTEST_PROMPT + random.nextInt(PROMPT_SPREAD) : 0;
    send(client, new CallerStandin.Request(host, path, id, key, DEADLINE_MS, prompt));
  }

  /** Sends a request; what is given completes with its end, whatever that is. */
  private Future<Void> send(HttpClientAgent over, CallerStandin.Request sent) {
    open++;
    String to = HostSettings.name(hosts.indexOf(sent.host()));
    ledger.notices().sent(sent.id(), to, Soak.nowMs());
    return over.request(sent.options())
        .compose(request -> exchange(request, sent))
        .onFailure(cause -> ledger.failed())
        .recover(cause -> Future.succeededFuture())
        .onComplete(done -> open--);
  }

  private Future<Void> exchange(HttpClientRequest request, CallerStandin.Request sent) {
    String host = HostSettings.name(hosts.indexOf(sent.host()));
    AtomicBoolean begun = new AtomicBoolean();
    Future<Void> answered =
        request
            .response()
            .compose(
                answer -> {
                  begun.set(true);
                  begins(sent.id(), answer);
                  return answer.body().map(body -> answered(sent.id(), answer, body.toString()));
                })
            .onFailure(cause -> ledger.stops().cut(sent.id(), begun.get(), Soak.nowMs()));
    request
        .end("body")
        .onSuccess(v -> ledger.stops().sent(sent.id(), host, sent.deadlineMs(), Soak.nowMs()));
    return answered;
  }

  /** An answer begins; the endpoint that gave its head may not be the one that ends it. */
  private void begins(String id, HttpClientResponse answer) {
    String seal = CallerStandin.seal(answer);
    if (seal != null && answer.getHeader(LEAVING) != null) {
      ledger.notices().passedOn(id, seal.substring(SEAL.length()), Soak.nowMs());
    }
  }

  private Void answered(String id, HttpClientResponse answer, String body) {
    String seal = CallerStandin.seal(answer);
    ledger.answered(id, answer.statusCode(), CallerStandin.requestId(answer), seal, body);
    return null;
  }
}
