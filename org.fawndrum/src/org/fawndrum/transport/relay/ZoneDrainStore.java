// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.HashSet;
import java.util.Set;
import org.fawndrum.coordination.DrainedZones;
import org.fawndrum.protocol.ZoneDrains;

/**
 * Holds the newest drained zones that this host knows, from the store or from peers. The later
 * position wins. Thread-safe.
 */
final class ZoneDrainStore {
  private final DrainedZones zones;
  private final Listener listener;
  private volatile ZoneDrains current = ZoneDrains.NONE;

  /** Receives changes of the set of drained zones. Its methods must not block. */
  interface Listener {
    /**
     * Called before the endpoints of zones that were taken back become eligible for new work again.
     */
    default void beforeTakenBack(Set<String> takenBack) {}

    /**
     * Called after a change took effect.
     *
     * @param drained the newly drained zones
     * @param takenBack the zones that were taken back
     * @param source where this host learned of it
     */
    void changed(Set<String> drained, Set<String> takenBack, ZoneDrains now, String source);
  }

  /**
   * Creates a store that knows nothing.
   *
   * @param zones where the zones take effect
   */
  ZoneDrainStore(DrainedZones zones, Listener listener) {
    this.zones = zones;
    this.listener = listener;
  }

  /** Returns the newest known state. */
  ZoneDrains current() {
    return current;
  }

  /** Applies a state if it is newer than the one known here; returns whether it is as new. */
  boolean offer(ZoneDrains newer, String source) {
    if (newer.isAfter(current)) {
      apply(newer, source);
    }
    return !current.isAfter(newer);
  }

  private synchronized void apply(ZoneDrains newer, String source) {
    if (!newer.isAfter(current)) {
      return;
    }
    Set<String> takenBack = without(current.zones(), newer.zones());
    Set<String> drained = without(newer.zones(), current.zones());
    if (!takenBack.isEmpty()) {
      listener.beforeTakenBack(takenBack);
    }
    boolean changed = zones.replace(newer.zones());
    // After it took effect, since what confirms the configuration relies on it.
    current = newer;
    if (changed) {
      listener.changed(drained, takenBack, newer, source);
    }
  }

  private static Set<String> without(Set<String> zones, Set<String> removed) {
    Set<String> rest = new HashSet<>(zones);
    rest.removeAll(removed);
    return rest;
  }
}
