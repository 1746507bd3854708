// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

import java.util.OptionalInt;

/**
 * A customer of the system.
 *
 * @param name its name
 * @param rank its urgency, 0 the most urgent, which goes before that of a route; empty when not set
 */
public record Workspace(String name, OptionalInt rank) {
  /** Stands for callers without a key, on routes that need none. */
  public static final Workspace ANYBODY = new Workspace("anybody", OptionalInt.empty());
}
