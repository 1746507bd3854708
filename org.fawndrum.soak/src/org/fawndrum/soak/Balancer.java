// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.function.IntUnaryOperator;
import java.util.stream.IntStream;
import org.fawndrum.state.HostAddress;

/**
 * The platform's balancer: asks every second each host whether it is ready, and gives callers a
 * host of their zone. A host that misses twice gets no new callers until it is ready again. Where
 * fewer than half of a zone's hosts are in, all of them are used; where none is, those of other
 * zones. Asks on one event loop; {@link #hostFor} is safe for all threads.
 */
final class Balancer {
  private static final long INTERVAL_MS = 1_000;

  /** Misses after which a host gets no new callers. */
  private static final int MAX_MISSES = 2;

  private static final int READY = 200;

  private final Vertx vertx;
  private final List<HostAddress> readiness;
  private final IntUnaryOperator zoneOf;
  private final HttpClientAgent client;
  private final AtomicIntegerArray misses;

  /**
   * Creates a balancer of hosts that all are in.
   *
   * @param readiness the address of each host's health check, by index
   * @param zoneOf the zone of a host by its index
   */
  Balancer(Vertx vertx, List<HostAddress> readiness, IntUnaryOperator zoneOf) {
    this.vertx = vertx;
    this.readiness = readiness;
    this.zoneOf = zoneOf;
    this.misses = new AtomicIntegerArray(readiness.size());
    this.client =
        vertx.createHttpClient(new HttpClientOptions().setConnectTimeout((int) INTERVAL_MS));
  }

  /** Starts to ask the hosts. */
  void start() {
    vertx.setPeriodic(INTERVAL_MS, timer -> hosts().forEach(this::ask));
  }

  private IntStream hosts() {
    return IntStream.range(0, readiness.size());
  }

  private void ask(int host) {
    HostAddress at = readiness.get(host);
    RequestOptions options =
        new RequestOptions()
            .setMethod(HttpMethod.GET)
            .setHost(at.ip())
            .setPort(at.port())
            .setTimeout(INTERVAL_MS);
    client
        .request(options)
        .compose(request -> request.send())
        .onSuccess(answer -> asked(host, answer.statusCode() == READY))
        .onFailure(cause -> asked(host, false));
  }

  private void asked(int host, boolean ready) {
    misses.set(host, ready ? 0 : misses.get(host) + 1);
  }

  private boolean isIn(int host) {
    return misses.get(host) < MAX_MISSES;
  }

  /** Returns the number of hosts that get new callers because they are ready. */
  int hostsIn() {
    return (int) hosts().filter(this::isIn).count();
  }

  /** Returns a host for a new connection of a caller in a zone. */
  int hostFor(int zone, Random random) {
    int[] all = hosts().filter(host -> zoneOf.applyAsInt(host) == zone).toArray();
    int[] in = IntStream.of(all).filter(this::isIn).toArray();
    if (in.length == 0) {
      int[] elsewhere = hosts().filter(this::isIn).toArray();
      return any(elsewhere.length == 0 ? all : elsewhere, random);
    }
    return any(2 * in.length < all.length ? all : in, random);
  }

  private static int any(int[] hosts, Random random) {
    return hosts[random.nextInt(hosts.length)];
  }
}
