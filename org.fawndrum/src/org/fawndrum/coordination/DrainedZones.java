// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.Set;

/**
 * The availability zones that the operators have drained: their endpoints get no new requests,
 * while what they run continues. Thread-safe: a zone is checked when a request is placed, and again
 * when it is sent.
 */
public final class DrainedZones {
  private volatile Set<String> zones = Set.of();

  /**
   * Replaces the drained zones.
   *
   * @return whether they changed
   */
  public synchronized boolean replace(Set<String> newer) {
    boolean changed = !zones.equals(newer);
    zones = Set.copyOf(newer);
    return changed;
  }

  /** Whether the endpoints of a zone get no new requests. */
  public boolean contains(String zone) {
    return zones.contains(zone);
  }

  /** Returns the drained zones. */
  public Set<String> zones() {
    return zones;
  }
}
