// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import org.fawndrum.state.EndpointKind;

/**
 * What a request is addressed to.
 *
 * @param kind a model or a plain service
 * @param name the name of the model or service
 */
public record RequestTarget(EndpointKind kind, String name) {
  // Explicit, because the generated ones build their code at run time, at each start of a daemon.
  @Override
  public boolean equals(Object object) {
    return object instanceof RequestTarget other && kind == other.kind && name.equals(other.name);
  }

  @Override
  public int hashCode() {
    return 31 * kind.hashCode() + name.hashCode();
  }
}
