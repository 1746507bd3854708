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
 */
public record ServiceProfile(String name, int maxConnections, Optional<EngineProfile> engine) {
  /** Returns the kind of its endpoints. */
  public EndpointKind kind() {
    return engine.isPresent() ? EndpointKind.MODEL : EndpointKind.PLAIN;
  }
}
