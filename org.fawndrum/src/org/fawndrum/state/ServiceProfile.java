// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

import java.util.Optional;

/**
 * A service that routes forward requests to.
 *
 * @param name its name
 * @param maxConnections maximum number of connections that one of its endpoints accepts from all
 *     hosts together
 * @param engine performance of its engines; empty for a plain service
 * @param startMs how long its endpoints accept less after a start, in milliseconds; 0 if not stated
 * @param startPerSecond how many requests a second one of its endpoints accepts meanwhile from all
 *     hosts together; 0 if any number
 * @param healthPath the path at which its endpoints tell their health; empty if not stated
 */
public record ServiceProfile(
    String name,
    int maxConnections,
    Optional<EngineProfile> engine,
    long startMs,
    double startPerSecond,
    String healthPath) {
  /** Creates a service whose health path is not stated. */
  public ServiceProfile(
      String name,
      int maxConnections,
      Optional<EngineProfile> engine,
      long startMs,
      double startPerSecond) {
    this(name, maxConnections, engine, startMs, startPerSecond, "");
  }

  /** Creates a service whose endpoints accept any number of requests as soon as they start. */
  public ServiceProfile(String name, int maxConnections, Optional<EngineProfile> engine) {
    this(name, maxConnections, engine, 0, 0);
  }

  /** Whether its endpoints accept less while they start. */
  public boolean limitsStarts() {
    return startPerSecond > 0;
  }

  /** Returns the kind of its endpoints. */
  public EndpointKind kind() {
    return engine.isPresent() ? EndpointKind.MODEL : EndpointKind.PLAIN;
  }
}
