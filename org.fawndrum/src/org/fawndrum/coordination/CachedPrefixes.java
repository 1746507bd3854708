// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What is known of an engine's prefix cache, from its events and from what was sent to it. The
 * events come late and with gaps, so this is a guess that costs time, never correctness, when
 * wrong. Bounded; the least recently used prefix is forgotten first. Confined to one thread.
 */
final class CachedPrefixes {
  /** How many prefixes are remembered for all engines of a host together. */
  static final int MOST_IN_ALL = 65_536;

  /** How many prefixes are remembered for one engine at the most. */
  static final int MOST = 512;

  private final int most;

  private final Map<Long, Boolean> known =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
          return size() > most;
        }
      };

  /** Makes an empty cache view of one engine among so many. */
  CachedPrefixes(int engines) {
    this.most = Math.max(1, Math.min(MOST, MOST_IN_ALL / Math.max(1, engines)));
  }

  void stored(List<Long> prefixes) {
    for (Long prefix : prefixes) {
      known.put(prefix, Boolean.TRUE);
    }
  }

  void evicted(List<Long> prefixes) {
    known.keySet().removeAll(prefixes);
  }

  /** Forgets everything: a gap in the events, after which nothing is known. */
  void gap() {
    known.clear();
  }

  /** Returns how many of a prompt's leading blocks are probably cached. */
  int match(List<Long> prefixes) {
    int blocks = 0;
    while (blocks < prefixes.size() && known.containsKey(prefixes.get(blocks))) {
      blocks++;
    }
    return blocks;
  }
}
