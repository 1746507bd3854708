// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

import java.util.List;

/**
 * A route of the operators' configuration. Immutable.
 *
 * @param name the route's name, unique within one revision
 * @param host the host name in the caller's request
 * @param pathPrefix prefix of the paths that it matches; begins and ends with a slash
 * @param kind how often its requests may run
 * @param resumable whether a broken stream may resume at another endpoint
 * @param timeoutMs maximum duration of a request, in milliseconds
 * @param latencyTargets latency targets and attempt limit of its requests
 * @param rank urgency; 0 is the most urgent
 * @param allowsAnonymous whether requests without a key are accepted
 * @param services the services that its requests are distributed over, at least one
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    RouteKind kind,
    boolean resumable,
    long timeoutMs,
    LatencyTargets latencyTargets,
    int rank,
    boolean allowsAnonymous,
    List<WeightedService> services) {
  /**
   * A service with its weight within a route.
   *
   * @param service the service's name
   * @param weight share of the route's requests relative to the others, at least 0
   */
  public record WeightedService(String service, int weight) {}

  /** Makes a defensive copy of the services. */
  public Route {
    services = List.copyOf(services);
  }

  /** Whether a request may be retried after an unknown outcome. */
  public boolean repeatable() {
    return kind == RouteKind.SAFE || kind == RouteKind.STREAM && resumable;
  }

  /**
   * Returns how long a request may take, in milliseconds.
   *
   * @param callerTimeoutMs how long its caller waits, in milliseconds; 0 if it did not say
   */
  public long allowedMs(long callerTimeoutMs) {
    return callerTimeoutMs > 0 ? Math.min(timeoutMs, callerTimeoutMs) : timeoutMs;
  }

  /**
   * Selects the service for a request, in proportion to the weights.
   *
   * @param draw uniform random number in [0, 1)
   */
  public String service(double draw) {
    double sum = services.stream().mapToInt(WeightedService::weight).sum();
    double remaining = draw * sum;
    for (WeightedService target : services) {
      remaining -= target.weight();
      if (remaining < 0) {
        return target.service();
      }
    }
    return services.get(services.size() - 1).service();
  }
}
