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
 * Callers that send requests to random hosts and keep their connections until the host closes them.
 * Confined to one event loop.
 */
final class Callers {
  /** Interval between requests, in milliseconds: fifty per second over all hosts. */
  private static final long GAP_MS = 20;

  /** Deadline of a request, in milliseconds: below the timeout of the routes. */
  static final long DEADLINE_MS = 4_000;

  /** One in this many requests uses the key that may be revoked. */
  private static final int REVOCABLE_KEY_ODDS = 4;

  /** Maximum number of the callers' connections to each host. */
  private static final int CONNECTIONS = 20;

  /** Connect timeout, in milliseconds. */
  private static final int CONNECT_TIMEOUT_MS = 1_000;

  /** Minimum prompt length of a streamed request, in tokens; the spread is added at random. */
  private static final int MIN_PROMPT_TOKENS = 500;

  private static final int PROMPT_SPREAD_TOKENS = 50_000;

  /** Route of long prompts; their time to first token may exceed two seconds. */
  static final String LONG_ROUTE = "review";

  /** Interval between long prompts, in milliseconds. */
  private static final long LONG_GAP_MS = 1_200;

  /** Deadline of a long prompt, in milliseconds. */
  static final long LONG_DEADLINE_MS = 12_000;

  /** Minimum length of a long prompt, in tokens: more than an engine's memory. */
  private static final int MIN_LONG_TOKENS = 110_000;

  private static final int LONG_SPREAD_TOKENS = 40_000;

  /** Number of callers that send to a stopping host in a loop, on separate connections. */
  private static final int PERSISTENT_CALLERS = 2;

  /** Pause of such a caller after each answer, in milliseconds. */
  private static final long PERSISTENT_PAUSE_MS = 20;

  /** Path prefix of requests that crash engines. */
  static final String CRASHING_PATH = "/ask/deadly-";

  /** How often a request that crashes engines is sent, and the interval in milliseconds. */
  private static final int CRASHING_REPEATS = 16;

  private static final long CRASHING_GAP_MS = 400;

  /** Response header of an endpoint that is shutting down. */
  private static final String SHUTTING_DOWN_HEADER = "Server-Leaving";

  /** Response header of an endpoint that accepts a rate only. */
  private static final String RATE_HEADER = "Server-Limit";

  /** Response header of an endpoint that has just started. */
  private static final String STARTING_HEADER = "X-Cold-Start-Ms";

  /** What precedes the endpoint's name in its seal. */
  private static final String SEAL_PREFIX = "seal-";

  private static final List<String> ROUTES = List.of("ask", "tell", "once", "look");

  private final Vertx vertx;
  private final List<HostAddress> hosts;
  private final PromiseChecker checker;
  private final Random random;

  /** Separate for long prompts, so that the other requests of a seed don't change. */
  private final Random longRandom;

  /**
   * Separate for requests that crash engines, so that the other requests of a seed don't change.
   */
  private final Random crashingRandom;

  private final HttpClientAgent client;
  private final HttpClientAgent persistentClient;
  private long timer;
  private long longTimer;
  private HostAddress stoppingHost;
  private int requestCount;
  private int crashingCount;
  private int openRequests;

  Callers(Vertx vertx, List<HostAddress> hosts, PromiseChecker checker, long seed) {
    this.vertx = vertx;
    this.hosts = hosts;
    this.checker = checker;
    this.random = new Random(seed);
    this.longRandom = new Random(~seed);
    this.crashingRandom = new Random(seed + 1);
    this.client = client(CONNECTIONS);
    this.persistentClient = client(PERSISTENT_CALLERS);
  }

  private HttpClientAgent client(int connections) {
    return vertx.createHttpClient(
        new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS),
        new PoolOptions().setHttp1MaxSize(connections));
  }

  /** Starts to send requests. */
  void start() {
    timer = vertx.setPeriodic(GAP_MS, id -> send(hosts.get(random.nextInt(hosts.size()))));
    longTimer = vertx.setPeriodic(LONG_GAP_MS, id -> sendLong(client, anyHost()));
  }

  /** Stops sending; outstanding answers still arrive. */
  void stop() {
    vertx.cancelTimer(timer);
    vertx.cancelTimer(longTimer);
  }

  /** Returns the number of requests without a complete answer. */
  int openRequests() {
    return openRequests;
  }

  /**
   * Starts callers that each send long prompts to one host, one after the other, until {@link
   * #stopPersistentCallers}.
   */
  void startPersistentCallers(int host) {
    stoppingHost = hosts.get(host);
    for (int i = 0; i < PERSISTENT_CALLERS; i++) {
      sendRepeatedly(stoppingHost);
    }
  }

  /** Stops the callers that {@link #startPersistentCallers} started. */
  void stopPersistentCallers() {
    stoppingHost = null;
  }

  private void sendRepeatedly(HostAddress host) {
    if (host.equals(stoppingHost)) {
      sendLong(persistentClient, host)
          .onComplete(done -> vertx.setTimer(PERSISTENT_PAUSE_MS, id -> sendRepeatedly(host)));
    }
  }

  private HostAddress anyHost() {
    return hosts.get(longRandom.nextInt(hosts.size()));
  }

  private Future<Void> sendLong(HttpClientAgent through, HostAddress host) {
    String id = "s-" + ++requestCount;
    String path = "/" + LONG_ROUTE + "/" + requestCount;
    checker.recordSent(
        id,
        new PromiseChecker.SentRequest(path, true, SoakSite.KEY, SoakSite.STREAM, Soak.nowMs()));
    long prompt = MIN_LONG_TOKENS + longRandom.nextInt(LONG_SPREAD_TOKENS);
    return send(
        through, new CallerStandin.Request(host, path, id, SoakSite.KEY, LONG_DEADLINE_MS, prompt));
  }

  /** Sends a request repeatedly that crashes each engine that runs it. */
  void sendCrashing() {
    sendCrashing(CRASHING_PATH + ++crashingCount, CRASHING_REPEATS);
  }

  private void sendCrashing(String path, int times) {
    String id = "s-" + ++requestCount;
    HostAddress host = hosts.get(crashingRandom.nextInt(hosts.size()));
    checker.recordSent(
        id,
        new PromiseChecker.SentRequest(path, true, SoakSite.KEY, SoakSite.STREAM, Soak.nowMs()));
    checker.crashes().recordSent(id, HostSettings.name(hosts.indexOf(host)));
    send(
        client,
        new CallerStandin.Request(host, path, id, SoakSite.KEY, DEADLINE_MS, MIN_PROMPT_TOKENS));
    if (times > 1) {
      vertx.setTimer(CRASHING_GAP_MS, timer -> sendCrashing(path, times - 1));
    }
  }

  /** Sends one request to a host. */
  private void send(HostAddress host) {
    String id = "s-" + ++requestCount;
    String route = ROUTES.get(random.nextInt(ROUTES.size()));
    String path = "/" + route + "/" + requestCount;
    boolean stream = route.equals("ask") || route.equals("tell");
    boolean repeatable = route.equals("ask") || route.equals("look");
    String key = random.nextInt(REVOCABLE_KEY_ODDS) == 0 ? SoakSite.REVOCABLE_KEY : SoakSite.KEY;
    String body = stream ? SoakSite.STREAM : SoakSite.PLAIN;
    checker.recordSent(
        id, new PromiseChecker.SentRequest(path, repeatable, key, body, Soak.nowMs()));
    checker.links().recordSent(id, HostSettings.name(hosts.indexOf(host)), Soak.nowMs());
    long prompt = stream ? MIN_PROMPT_TOKENS + random.nextInt(PROMPT_SPREAD_TOKENS) : 0;
    send(client, new CallerStandin.Request(host, path, id, key, DEADLINE_MS, prompt));
  }

  /** Sends a request; the future completes when the request has ended, successfully or not. */
  private Future<Void> send(HttpClientAgent through, CallerStandin.Request sent) {
    openRequests++;
    String to = HostSettings.name(hosts.indexOf(sent.host()));
    checker.notices().recordSent(sent.id(), to, Soak.nowMs());
    return through
        .request(sent.options())
        .compose(request -> exchange(request, sent))
        .onFailure(cause -> checker.recordFailure())
        .recover(cause -> Future.succeededFuture())
        .onComplete(done -> openRequests--);
  }

  private Future<Void> exchange(HttpClientRequest request, CallerStandin.Request sent) {
    String host = HostSettings.name(hosts.indexOf(sent.host()));
    AtomicBoolean started = new AtomicBoolean();
    Future<Void> answered =
        request
            .response()
            .compose(
                answer -> {
                  started.set(true);
                  responseStarted(sent.id(), answer);
                  return answer
                      .body()
                      .map(body -> responseCompleted(sent.id(), answer, body.toString()));
                })
            .onFailure(
                cause -> checker.shutdowns().recordAborted(sent.id(), started.get(), Soak.nowMs()));
    request
        .end("body")
        .onSuccess(
            v -> checker.shutdowns().recordSent(sent.id(), host, sent.deadlineMs(), Soak.nowMs()));
    return answered;
  }

  /**
   * Called when an answer starts. The endpoint that sent its head may not be the one that completes
   * it.
   */
  private void responseStarted(String id, HttpClientResponse answer) {
    String seal = CallerStandin.seal(answer);
    if (seal == null) {
      return;
    }
    String endpoint = seal.substring(SEAL_PREFIX.length());
    if (answer.getHeader(SHUTTING_DOWN_HEADER) != null) {
      checker.notices().recordDrainingNotice(id, endpoint, Soak.nowMs());
    }
    if (answer.getHeader(RATE_HEADER) != null) {
      checker.rates().recordPassedOn(id, endpoint, Soak.nowMs());
    }
    if (answer.getHeader(STARTING_HEADER) != null) {
      checker.starts().recordPassedOn(id, endpoint, Soak.nowMs());
    }
  }

  private Void responseCompleted(String id, HttpClientResponse answer, String body) {
    String seal = CallerStandin.seal(answer);
    checker.recordAnswer(id, answer.statusCode(), CallerStandin.requestId(answer), seal, body);
    return null;
  }
}
