// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.vertx.core.Future;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.fawndrum.errors.EndpointRestartedException;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.HostListing;

/**
 * Orders to engines that reach only the start of an engine for which they are meant. An engine that
 * has started again holds nothing of before, so that a lease renewed there would set memory aside
 * for nobody, and its sign of life says nothing about a request that its earlier start had. Which
 * start is the newest is learned from the endpoints' entries and from engines' reports, which tell
 * it also while the store is down. Safe for all threads.
 */
final class CurrentStarts implements EngineOrders {
  private final EngineOrders orders;
  private final Consumer<HostIdentity> restarted;
  private final Map<String, Long> newest = new ConcurrentHashMap<>();

  /**
   * Makes orders that know of no start yet.
   *
   * @param orders sends them
   * @param restarted takes each later start that a report tells of; must not block
   */
  CurrentStarts(EngineOrders orders, Consumer<HostIdentity> restarted) {
    this.orders = orders;
    this.restarted = restarted;
  }

  /** Takes over the starts that the endpoints' entries tell. */
  void listed(HostListing listing) {
    newest.keySet().retainAll(listing.endpoints().stream().map(Endpoint::name).toList());
    listing.endpoints().forEach(one -> newest.merge(one.name(), one.incarnation(), Math::max));
  }

  private boolean isOver(Endpoint engine) {
    return newest.getOrDefault(engine.name(), Long.MIN_VALUE) > engine.incarnation();
  }

  @Override
  public void hearNotices(EndpointNotices listener) {
    orders.hearNotices(listener);
  }

  @Override
  public Future<Boolean> reserve(Endpoint engine, String ticket, long tokens, long holdMs) {
    return isOver(engine) ? restarted(engine) : orders.reserve(engine, ticket, tokens, holdMs);
  }

  /** Frees memory; also at a later start, where a renewal may have set it aside unknowingly. */
  @Override
  public Future<Void> release(Endpoint engine, String ticket) {
    return orders.release(engine, ticket);
  }

  @Override
  public Future<EngineReport> report(Endpoint engine) {
    return orders
        .report(engine)
        .compose(
            report -> {
              learn(engine, report.incarnation());
              return isOver(engine) ? restarted(engine) : Future.succeededFuture(report);
            });
  }

  private void learn(Endpoint engine, long incarnation) {
    boolean comparable = engine.incarnation() != Endpoint.START_NOT_TOLD;
    if (comparable && incarnation > engine.incarnation()) {
      newest.merge(engine.name(), incarnation, Math::max);
      restarted.accept(new HostIdentity(engine.name(), incarnation));
    }
  }

  private static <T> Future<T> restarted(Endpoint engine) {
    return Future.failedFuture(new EndpointRestartedException(engine.name()));
  }
}
