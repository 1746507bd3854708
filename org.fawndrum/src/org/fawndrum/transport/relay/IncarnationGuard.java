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
 * Sends requests to an engine only if the intended incarnation of it is still current. A restarted
 * engine has lost its previous state: renewing a lease there would reserve memory that nobody uses,
 * and its report does not show that a request of the previous incarnation is alive. The newest
 * incarnation is learned from the endpoints' entries and from engines' reports, which are available
 * even while the store is down. Thread-safe.
 */
final class IncarnationGuard implements EngineControl {
  private final EngineControl delegate;
  private final Consumer<HostIdentity> onRestart;
  private final Map<String, Long> newestIncarnations = new ConcurrentHashMap<>();

  /**
   * Creates a guard that knows no incarnation yet.
   *
   * @param delegate sends the requests
   * @param onRestart receives each later incarnation that a report reveals; must not block
   */
  IncarnationGuard(EngineControl delegate, Consumer<HostIdentity> onRestart) {
    this.delegate = delegate;
    this.onRestart = onRestart;
  }

  /**
   * Records the incarnations of the listed endpoints, and forgets endpoints that are not listed.
   */
  void updateListing(HostListing listing) {
    newestIncarnations
        .keySet()
        .retainAll(listing.endpoints().stream().map(Endpoint::name).toList());
    listing
        .endpoints()
        .forEach(
            endpoint ->
                newestIncarnations.merge(endpoint.name(), endpoint.incarnation(), Math::max));
  }

  private boolean isSuperseded(Endpoint engine) {
    return newestIncarnations.getOrDefault(engine.name(), Long.MIN_VALUE) > engine.incarnation();
  }

  @Override
  public void setNoticeListener(EndpointNoticeListener listener) {
    delegate.setNoticeListener(listener);
  }

  @Override
  public void setPaths(EndpointRequests paths) {
    delegate.setPaths(paths);
  }

  @Override
  public Future<Boolean> reserve(Endpoint engine, String ticket, long tokens, long holdMs) {
    return isSuperseded(engine)
        ? restartedFailure(engine)
        : delegate.reserve(engine, ticket, tokens, holdMs);
  }

  /**
   * Releases memory. A later incarnation is included, because a renewal may have reserved memory
   * there before the restart was known.
   */
  @Override
  public Future<Void> release(Endpoint engine, String ticket) {
    return delegate.release(engine, ticket);
  }

  @Override
  public Future<EngineReport> report(Endpoint engine) {
    return delegate
        .report(engine)
        .compose(
            report -> {
              recordIncarnation(engine, report.incarnation());
              return isSuperseded(engine)
                  ? restartedFailure(engine)
                  : Future.succeededFuture(report);
            });
  }

  private void recordIncarnation(Endpoint engine, long incarnation) {
    boolean comparable = engine.incarnation() != Endpoint.UNKNOWN_INCARNATION;
    if (comparable && incarnation > engine.incarnation()) {
      newestIncarnations.merge(engine.name(), incarnation, Math::max);
      onRestart.accept(new HostIdentity(engine.name(), incarnation));
    }
  }

  private static <T> Future<T> restartedFailure(Endpoint engine) {
    return Future.failedFuture(new EndpointRestartedException(engine.name()));
  }
}
