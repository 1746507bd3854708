// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

import java.util.Optional;

/**
 * A service that routes lead to.
 *
 * @param name its name
 * @param mostConnections the most connections that one of its endpoints takes from all hosts
 * @param engine how its engines work; empty for a plain service
 */
public record ServiceProfile(String name, int mostConnections, Optional<EngineProfile> engine) {
  /** Returns what its endpoints are. */
  public EndpointKind kind() {
    return engine.isPresent() ? EndpointKind.MODEL : EndpointKind.PLAIN;
  }
}
