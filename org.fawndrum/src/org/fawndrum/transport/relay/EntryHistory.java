// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.fawndrum.transport.relay.RelayDecoder.EndpointEntry;

/**
 * The last entry read from each endpoint, including removed ones. If the store is restored from a
 * copy, the copy may contain an older entry of an endpoint that announced its shutdown since, or
 * was removed, and would bring it back. An entry of a later epoch therefore counts only if the
 * endpoint wrote it after the entry known here. Confined to one thread.
 */
final class EntryHistory {
  /**
   * Maximum number of removed entries that are kept: a fleet of 10,000 endpoints replaces fewer
   * within the seconds by which a copy may be outdated.
   */
  private static final int MAX_REMOVED = 1_024;

  private final Map<String, KnownEntry> present = new HashMap<>();
  private final Map<String, KnownEntry> removed = new LinkedHashMap<>();

  /**
   * The last known entry of one endpoint.
   *
   * @param entry the entry that the endpoint wrote last
   * @param epoch the store's epoch in which the entry was read or removed
   */
  private record KnownEntry(EndpointEntry entry, long epoch) {}

  /** Records a valid entry. */
  void recordEntry(String key, EndpointEntry entry, long epoch) {
    removed.remove(key);
    present.put(key, new KnownEntry(entry, epoch));
  }

  /** Records that an entry was removed. */
  void recordRemoval(String key, long epoch) {
    KnownEntry known = present.remove(key);
    if (known == null) {
      return;
    }
    removed.put(key, new KnownEntry(known.entry(), epoch));
    if (removed.size() > MAX_REMOVED) {
      removed.remove(removed.keySet().iterator().next());
    }
  }

  /**
   * Returns whether an entry is older than the known one and comes from a copy of the store. An
   * announced shutdown is accepted whenever it was written. If the endpoint's entry is still
   * present, so is a repetition of it, because the endpoint may write the same entry again.
   */
  boolean isStaleCopy(String key, EndpointEntry entry, long epoch) {
    KnownEntry known = present.getOrDefault(key, removed.get(key));
    if (known == null || epoch <= known.epoch() || entry.draining()) {
      return false;
    }
    boolean isNewer = known.entry().isOlderThan(entry);
    return removed.containsKey(key) ? !isNewer : entry.isOlderThan(known.entry());
  }
}
