// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates the contents of an engine's prefix cache from its cache events and from the prompts
 * sent to it. Events arrive late and with gaps; a wrong estimate costs time but not correctness.
 * Bounded: evicts the least recently used prefix. Confined to one thread.
 */
final class CachedPrefixes {
  /** Maximum number of prefixes kept for all engines of a host together. */
  static final int MAX_TOTAL = 65_536;

  /** Maximum number of prefixes kept for one engine. */
  static final int MAX_PER_ENGINE = 512;

  private final int capacity;

  private final Map<Long, Boolean> cached =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
          return size() > capacity;
        }
      };

  /** Creates an empty estimate for one of the given number of engines. */
  CachedPrefixes(int engines) {
    this.capacity = Math.max(1, Math.min(MAX_PER_ENGINE, MAX_TOTAL / Math.max(1, engines)));
  }

  void stored(List<Long> prefixes) {
    for (Long prefix : prefixes) {
      cached.put(prefix, Boolean.TRUE);
    }
  }

  void evicted(List<Long> prefixes) {
    cached.keySet().removeAll(prefixes);
  }

  /** Removes all prefixes, since a gap in the events makes the estimate worthless. */
  void clear() {
    cached.clear();
  }

  /** Returns the number of leading blocks of a prompt that are probably cached. */
  int matchingBlocks(List<Long> prefixes) {
    int blocks = 0;
    while (blocks < prefixes.size() && cached.containsKey(prefixes.get(blocks))) {
      blocks++;
    }
    return blocks;
  }
}
