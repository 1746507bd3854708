// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

import java.util.Map;

/**
 * Insertion-ordered maps with a bounded size, for per-request state that callers can create at
 * will.
 */
final class BoundedMaps {
  private BoundedMaps() {}

  /**
   * Puts a value last, also if the key is already present, and removes the oldest entry beyond the
   * bound.
   *
   * @param map a map that keeps insertion order
   * @param maxSize the maximum number of entries
   */
  static <K, V> void putLast(Map<K, V> map, K key, V value, int maxSize) {
    map.remove(key);
    map.put(key, value);
    if (map.size() > maxSize) {
      map.remove(map.keySet().iterator().next());
    }
  }
}
