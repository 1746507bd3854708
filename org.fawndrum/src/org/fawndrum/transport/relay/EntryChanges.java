// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fawndrum.protocol.StorePosition;

/**
 * The latest changes of entries and their positions, so that a peer that has the other entries
 * receives only these. Thread-safe.
 */
final class EntryChanges {
  /** Maximum number of changes that are kept; a peer that lacks more receives all entries. */
  static final int MAX_KEPT = 1_024;

  /** The position of the last change of each key, in the order of the changes. */
  private final Map<String, StorePosition> positions = new LinkedHashMap<>();

  private StorePosition lastChange = StorePosition.NONE;
  private StorePosition droppedTo = StorePosition.NONE;

  /**
   * Records that an entry was added, changed or removed.
   *
   * @param position the position after the record that caused the change; if it is not after all
   *     previous changes, the next position after them is used, so that each change has its own
   *     position
   */
  synchronized void recordChange(String key, StorePosition position) {
    lastChange =
        position.isAfter(lastChange)
            ? position
            : new StorePosition(lastChange.epoch(), lastChange.offset() + 1);
    positions.remove(key);
    positions.put(key, lastChange);
    if (positions.size() > MAX_KEPT) {
      droppedTo = positions.remove(positions.keySet().iterator().next());
    }
  }

  /** Returns the position of the last change. */
  synchronized StorePosition lastChange() {
    return lastChange;
  }

  /**
   * Returns the keys of the entries that changed after a position; empty if some of them are no
   * longer recorded.
   */
  synchronized Optional<Set<String>> keysChangedSince(StorePosition from) {
    if (from.epoch() != lastChange.epoch() || droppedTo.isAfter(from)) {
      return Optional.empty();
    }
    Set<String> keys = new HashSet<>();
    positions.forEach(
        (key, position) -> {
          if (position.isAfter(from)) {
            keys.add(key);
          }
        });
    return Optional.of(keys);
  }
}
