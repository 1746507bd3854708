// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.fawndrum.transport.relay.RelayDecoder.EndpointEntry;

/**
 * What endpoints wrote last as far as it was read, those included whose entries are gone. The store
 * may come back from a copy that holds what they wrote before: an endpoint that said since that it
 * leaves, or whose entry went, would be brought back by it. An entry of a later era counts only if
 * the endpoint wrote it after what is known here. Confined to one thread.
 */
final class EntryHistory {
  /**
   * How many entries that are gone are kept: more than a fleet of 10,000 endpoints replaces in the
   * seconds by which a copy may be old.
   */
  private static final int MOST_GONE = 1_024;

  private final Map<String, Known> present = new HashMap<>();
  private final Map<String, Known> gone = new LinkedHashMap<>();

  /**
   * What is known of one endpoint.
   *
   * @param entry what it wrote last
   * @param era the store's era in which that was read, or in which it went
   */
  private record Known(EndpointEntry entry, long era) {}

  /** Takes note of an entry that counts. */
  void read(String key, EndpointEntry entry, long era) {
    gone.remove(key);
    present.put(key, new Known(entry, era));
  }

  /** Takes note that an entry is gone. */
  void gone(String key, long era) {
    Known last = present.remove(key);
    if (last == null) {
      return;
    }
    gone.put(key, new Known(last.entry(), era));
    if (gone.size() > MOST_GONE) {
      gone.remove(gone.keySet().iterator().next());
    }
  }

  /**
   * Tells whether an entry was written before what is known, and comes from a copy of the store.
   * One that says that its endpoint leaves is believed whenever it was written; so is one that an
   * endpoint whose entry is still there wrote last, because it may write it again as it was.
   */
  boolean isOfACopy(String key, EndpointEntry entry, long era) {
    Known last = present.getOrDefault(key, gone.get(key));
    if (last == null || era <= last.era() || entry.leaving()) {
      return false;
    }
    boolean wroteSince = last.entry().isBefore(entry);
    return gone.containsKey(key) ? !wroteSince : entry.isBefore(last.entry());
  }
}
