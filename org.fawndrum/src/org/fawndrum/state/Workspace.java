// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

import java.util.OptionalInt;

/**
 * A customer of the system (a tenant, on the platform).
 *
 * @param name its name
 * @param rank its urgency, which overrides that of the route; 0 is the most urgent; empty if not
 *     set
 */
public record Workspace(String name, OptionalInt rank) {
  /** Workspace of callers without a key, on routes that accept them. */
  public static final Workspace ANONYMOUS = new Workspace("anybody", OptionalInt.empty());
}
