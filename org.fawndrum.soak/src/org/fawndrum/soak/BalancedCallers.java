// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.PoolOptions;
import java.util.List;
import java.util.Random;
import org.fawndrum.platform.standin.CallerStandin;
import org.fawndrum.state.HostAddress;

/**
 * Callers in one zone that reach hosts through the balancer and send a request once more if they
 * may: those that may be repeated after any failure, the others after a refusal. Confined to one
 * event loop.
 */
final class BalancedCallers {
  /** A new connection gets this long, in milliseconds. */
  private static final int CONNECT_TIMEOUT_MS = 1_000;

  private static final int CONNECTIONS_PER_HOST = 64;

  /** Deadline of a stream, in milliseconds. */
  static final long STREAM_DEADLINE_MS = 10_000;

  /** Deadline of a plain request, in milliseconds. */
  private static final long PLAIN_DEADLINE_MS = 1_500;

  private static final int PROMPT_TOKENS = 5_000;

  /** Of this many requests, {@link #ONCE} must not be repeated and {@link #LOOK} are plain. */
  private static final int PARTS = 25;

  private static final int ONCE = 3;
  private static final int LOOK = 1;

  /** What a caller waits at most before its second attempt: a part of the time that it has left. */
  private static final long RETRY_PART = 3;

  private static final long MS_PER_SECOND = 1_000;
  private static final int REFUSED = 503;
  private static final int TOO_MANY = 429;

  private final Vertx vertx;
  private final List<HostAddress> hosts;
  private final Balancer balancer;
  private final int zone;
  private final RecoveryChecker checker;
  private final Random random;
  private final HttpClientAgent client;
  private long timer;
  private int requestCount;

  /** An attempt of a caller. */
  private record Attempt(String route, long untilMs, boolean first) {
    private boolean repeatable() {
      return !route.equals("once");
    }

    private Attempt second() {
      return new Attempt(route, untilMs, false);
    }
  }

  BalancedCallers(
      Vertx vertx,
      List<HostAddress> hosts,
      Balancer balancer,
      int zone,
      RecoveryChecker checker,
      Random random) {
    this.vertx = vertx;
    this.hosts = hosts;
    this.balancer = balancer;
    this.zone = zone;
    this.checker = checker;
    this.random = random;
    this.client =
        vertx.createHttpClient(
            new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS),
            new PoolOptions().setHttp1MaxSize(CONNECTIONS_PER_HOST));
  }

  /** Starts to send requests, each after the given time in milliseconds. */
  void start(long gapMs) {
    timer = vertx.setPeriodic(gapMs, id -> sendNext());
  }

  /** Stops sending; outstanding answers still arrive. */
  void stop() {
    vertx.cancelTimer(timer);
  }

  private void sendNext() {
    int part = random.nextInt(PARTS);
    String route = part < ONCE ? "once" : part < ONCE + LOOK ? "look" : "ask";
    long deadlineMs = route.equals("ask") ? STREAM_DEADLINE_MS : PLAIN_DEADLINE_MS;
    send(new Attempt(route, Soak.nowMs() + deadlineMs, true));
  }

  private void send(Attempt attempt) {
    long leftMs = attempt.untilMs() - Soak.nowMs();
    if (leftMs <= 0) {
      return;
    }
    String number = zone + "-" + ++requestCount;
    String id = "s-" + number;
    String path = "/" + attempt.route() + "/" + number;
    int prompt = attempt.route().equals("ask") ? PROMPT_TOKENS : 0;
    HostAddress host = hosts.get(balancer.hostFor(zone, random));
    checker.recordSent(id, Soak.nowMs());
    client
        .request(new CallerStandin.Request(host, path, id, SoakSite.KEY, leftMs, prompt).options())
        .compose(request -> request.send("body"))
        .compose(answer -> answer.body().map(body -> answer))
        .onSuccess(answer -> answered(id, attempt, answer))
        .onFailure(cause -> failed(id, attempt, cause));
  }

  private void answered(String id, Attempt attempt, HttpClientResponse answer) {
    int status = answer.statusCode();
    checker.recordOutcome(id, status == PromiseChecker.SUCCESS, Integer.toString(status));
    boolean notRun = status == REFUSED || status == TOO_MANY;
    if (status != PromiseChecker.SUCCESS && (notRun || attempt.repeatable())) {
      retry(attempt, retryAfterMs(answer.getHeader("Retry-After")));
    }
  }

  private static long retryAfterMs(String seconds) {
    return seconds == null ? 0 : (long) (Double.parseDouble(seconds) * MS_PER_SECOND);
  }

  private void failed(String id, Attempt attempt, Throwable cause) {
    checker.recordOutcome(id, false, cause.getClass().getSimpleName());
    if (attempt.repeatable()) {
      retry(attempt, 0);
    }
  }

  private void retry(Attempt attempt, long afterMs) {
    if (attempt.first()) {
      long leftMs = attempt.untilMs() - Soak.nowMs();
      long waitMs = Math.max(1, Math.min(afterMs, leftMs / RETRY_PART));
      vertx.setTimer(waitMs, id -> send(attempt.second()));
    }
  }
}
