// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

import java.util.List;

/**
 * What an operator's route says of its requests.
 *
 * @param name the route's name, unique within one revision
 * @param host the host name that callers ask for
 * @param pathPrefix the beginning of the paths it takes; begins and ends with a slash
 * @param kind how often its requests may run
 * @param resumable whether a broken stream may go on at another endpoint
 * @param timeoutMs the longest time for a whole request, in milliseconds
 * @param aims what callers expect of an answer
 * @param rank its urgency; 0 is the most urgent
 * @param open whether callers need no key
 * @param targets the services that share its requests, at least one
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    RouteKind kind,
    boolean resumable,
    long timeoutMs,
    RequestAims aims,
    int rank,
    boolean open,
    List<WeightedService> targets) {
  /**
   * A service and its share of a route's requests.
   *
   * @param service the service's name
   * @param weight its share relative to the others, at least 0
   */
  public record WeightedService(String service, int weight) {}

  /** Copies the targets, so that the route cannot change. */
  public Route {
    targets = List.copyOf(targets);
  }

  /** Tells whether a request may be sent again after an unknown outcome. */
  public boolean repeatable() {
    return kind == RouteKind.SAFE || kind == RouteKind.STREAM && resumable;
  }

  /**
   * Returns the service for a request.
   *
   * @param draw evenly distributed, at least 0 and below 1
   */
  public String service(double draw) {
    double sum = targets.stream().mapToInt(WeightedService::weight).sum();
    double left = draw * sum;
    for (WeightedService target : targets) {
      left -= target.weight();
      if (left < 0) {
        return target.service();
      }
    }
    return targets.get(targets.size() - 1).service();
  }
}
