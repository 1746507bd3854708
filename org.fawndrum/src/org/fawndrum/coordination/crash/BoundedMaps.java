// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

import java.util.Map;

/** What is kept of requests in the order in which it came, so that nobody fills the memory. */
final class BoundedMaps {
  private BoundedMaps() {}

  /**
   * Puts a value last, also where the key has one, and takes the first one out beyond a bound.
   *
   * @param map one that keeps the order of insertion
   * @param most how many are kept
   */
  static <K, V> void putLast(Map<K, V> map, K key, V value, int most) {
    map.remove(key);
    map.put(key, value);
    if (map.size() > most) {
      map.remove(map.keySet().iterator().next());
    }
  }
}
