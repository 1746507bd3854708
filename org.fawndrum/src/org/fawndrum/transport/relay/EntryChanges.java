// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fawndrum.protocol.StorePosition;

/**
 * Which entries changed last and where, so that a host that has the others is told only these. Safe
 * for all threads.
 */
final class EntryChanges {
  /** How many are kept; a host that lacks more of them is told all entries. */
  static final int MOST = 1_024;

  /** In the order in which they changed. */
  private final Map<String, StorePosition> places = new LinkedHashMap<>();

  private StorePosition last = StorePosition.NONE;
  private StorePosition forgottenTo = StorePosition.NONE;

  /**
   * Takes note that an entry came, went or says something else.
   *
   * @param at the place after what said so; if that is not after all changes before, the change
   *     counts at the next place after them, so that each has a place of its own
   */
  synchronized void changed(String key, StorePosition at) {
    last = at.isAfter(last) ? at : new StorePosition(last.era(), last.offset() + 1);
    places.remove(key);
    places.put(key, last);
    if (places.size() > MOST) {
      forgottenTo = places.remove(places.keySet().iterator().next());
    }
  }

  /** Returns the place of the last change. */
  synchronized StorePosition last() {
    return last;
  }

  /**
   * Returns the keys of the entries that changed after a place; empty when not all of them are
   * known any more.
   */
  synchronized Optional<Set<String>> since(StorePosition from) {
    if (from.era() != last.era() || forgottenTo.isAfter(from)) {
      return Optional.empty();
    }
    Set<String> keys = new HashSet<>();
    places.forEach(
        (key, at) -> {
          if (at.isAfter(from)) {
            keys.add(key);
          }
        });
    return Optional.of(keys);
  }
}
