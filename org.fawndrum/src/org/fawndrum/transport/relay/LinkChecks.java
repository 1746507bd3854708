// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.fawndrum.coordination.link.EndpointLinks;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.HostListing;
import org.fawndrum.transport.HostClock;

/**
 * Checks this host's own links to the listed endpoints by connecting to them: all silent ones when
 * one link was lost, and lost ones until they are intact again. Safe for all event loops.
 */
final class LinkChecks {
  /** Interval at which lost links are checked, in milliseconds. */
  private static final long RECHECK_MS = 100;

  /** Number of other endpoints that a host tries to reach before it blames one. */
  private static final int MAX_REFERENCES = 3;

  /** How long the result of that counts, in milliseconds: many connections may break at once. */
  private static final long REFERENCES_MS = 10;

  private final Vertx vertx;
  private final EndpointClient client;
  private final EndpointLinks links;
  private final HostClock clock;
  private final LinkLog linkLog;
  private final Consumer<RelayEvent> events;
  private final AtomicBoolean rechecking = new AtomicBoolean();
  private volatile Map<String, Endpoint> listed = Map.of();
  private volatile Set<HostIdentity> draining = Set.of();
  private volatile Future<Boolean> references = Future.succeededFuture(true);
  private volatile long referencesMs = HostClock.NEVER_MS;

  /**
   * Creates the checks of a host that knows no endpoint.
   *
   * @param events receives changes; must not block
   */
  LinkChecks(
      Vertx vertx,
      EndpointClient client,
      EndpointLinks links,
      HostClock clock,
      LinkLog linkLog,
      Consumer<RelayEvent> events) {
    this.vertx = vertx;
    this.client = client;
    this.links = links;
    this.clock = clock;
    this.linkLog = linkLog;
    this.events = events;
  }

  /** Replaces the endpoints that this host knows. */
  void listingChanged(HostListing listing) {
    listed =
        listing.endpoints().stream()
            .collect(Collectors.toUnmodifiableMap(Endpoint::name, e -> e, (one, other) -> other));
    draining = listing.drainingEndpoints();
    links.retain(listed.keySet());
  }

  /** Returns whether an endpoint is listed as draining. */
  boolean isDraining(Endpoint endpoint) {
    return draining.contains(endpoint.identity());
  }

  /** Returns an endpoint as this host knows it. */
  Optional<Endpoint> listed(String name) {
    return Optional.ofNullable(listed.get(name));
  }

  /** Records that the link to an endpoint is lost, and checks the others. */
  void linkLost(Endpoint endpoint) {
    recordLoss(endpoint);
    sweep(true);
  }

  private void recordLoss(Endpoint endpoint) {
    if (links.lost(endpoint.name(), clock.nowMs())) {
      linkLog.lost(endpoint.identity());
      events.accept(new RelayEvent.EndpointReachable(endpoint.identity()));
      scheduleRecheck();
    }
  }

  /** Has lost links checked for as long as there are any, and no timer run otherwise. */
  private void scheduleRecheck() {
    if (links.lostCount() > 0 && rechecking.compareAndSet(false, true)) {
      vertx.setTimer(RECHECK_MS, id -> recheckLost());
    }
  }

  private void recheckLost() {
    links.takeRechecks(clock.nowMs()).forEach(this::recheck);
    rechecking.set(false);
    scheduleRecheck();
  }

  /**
   * Checks the links to all silent endpoints.
   *
   * @param oneIsLost whether a link is known to be lost. If not, the links count as lost only if
   *     this host reaches no endpoint at all.
   */
  void sweep(boolean oneIsLost) {
    List<Endpoint> silent =
        links.takeSweep(oneIsLost, clock.nowMs()).stream()
            .flatMap(name -> Optional.ofNullable(listed.get(name)).stream())
            .toList();
    if (silent.isEmpty()) {
      return;
    }
    List<Future<Optional<ConnectFailure>>> results = silent.stream().map(this::check).toList();
    Future.all(results)
        .onSuccess(
            all -> {
              boolean noneReached = results.stream().allMatch(check -> check.result().isPresent());
              boolean cutOff = noneReached && silent.size() == listed.size() && silent.size() > 1;
              for (int i = 0; i < silent.size(); i++) {
                boolean failed = results.get(i).result().isPresent();
                if (failed && (oneIsLost || cutOff)) {
                  recordLoss(silent.get(i));
                }
              }
            });
  }

  /**
   * Connects to an endpoint over this host's own link, only to find out whether that is possible.
   */
  Future<Optional<ConnectFailure>> check(Endpoint endpoint) {
    return client
        .check(endpoint)
        .onSuccess(
            failure -> {
              if (failure.isPresent()) {
                links.connectFailed(endpoint.name());
              } else {
                connected(endpoint);
              }
            });
  }

  /** Records that this host connected to an endpoint. */
  void connected(Endpoint endpoint) {
    OptionalLong lostForMs = links.connected(endpoint.name(), clock.nowMs());
    if (lostForMs.isPresent()) {
      linkLog.restored(endpoint.identity(), lostForMs.getAsLong());
      events.accept(new RelayEvent.EndpointReachable(endpoint.identity()));
      links.takeAllLost(clock.nowMs()).forEach(this::recheck);
    }
  }

  private void recheck(String endpoint) {
    Optional.ofNullable(listed.get(endpoint)).ifPresent(this::check);
  }

  /**
   * Returns whether this host reaches at least half of some other endpoints now, so that it may
   * blame one that it does not reach. What arrived before is no evidence: all links may just have
   * been lost.
   */
  Future<Boolean> reachesOthers(Endpoint failed) {
    long nowMs = clock.nowMs();
    if (nowMs - referencesMs < REFERENCES_MS) {
      return references;
    }
    List<Endpoint> others =
        new ArrayList<>(
            listed.values().stream().filter(e -> !e.name().equals(failed.name())).toList());
    Collections.shuffle(others);
    List<Future<Optional<ConnectFailure>>> results =
        others.stream().limit(MAX_REFERENCES).map(this::check).toList();
    Promise<Boolean> reached = Promise.promise();
    references = reached.future();
    referencesMs = nowMs;
    Future.join(results).onComplete(all -> reached.complete(atLeastHalf(results)));
    return references;
  }

  private static boolean atLeastHalf(List<Future<Optional<ConnectFailure>>> results) {
    long accepted = results.stream().filter(check -> check.result().isEmpty()).count();
    return 2 * accepted >= results.size();
  }
}
