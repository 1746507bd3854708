// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.List;
import java.util.Random;
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

  private static final List<String> ROUTES = List.of("ask", "tell", "once", "look");

  private final Vertx vertx;
  private final List<HostAddress> hosts;
  private final Ledger ledger;
  private final Random random;
  private final HttpClientAgent client;
  private long timer;
  private int count;

  Callers(Vertx vertx, List<HostAddress> hosts, Ledger ledger, Random random) {
    this.vertx = vertx;
    this.hosts = hosts;
    this.ledger = ledger;
    this.random = random;
    this.client =
        vertx.createHttpClient(
            new HttpClientOptions().setConnectTimeout(CONNECT_MS),
            new PoolOptions().setHttp1MaxSize(CONNECTIONS));
  }

  /** Begins to send. */
  void start() {
    timer = vertx.setPeriodic(GAP_MS, id -> send(hosts.get(random.nextInt(hosts.size()))));
  }

  /** Sends nothing more; answers still come. */
  void stop() {
    vertx.cancelTimer(timer);
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
    RequestOptions options =
        new CallerStandin.Request(host, path, id, key, DEADLINE_MS, prompt).options();
    client
        .request(options)
        .compose(request -> request.send("body"))
        .compose(answer -> answer.body().onSuccess(got -> answered(id, answer, got.toString())))
        .onFailure(cause -> ledger.failed());
  }

  private void answered(String id, HttpClientResponse answer, String body) {
    ledger.answered(
        id, answer.statusCode(), CallerStandin.requestId(answer), CallerStandin.seal(answer), body);
  }
}
