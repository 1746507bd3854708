// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.HashSet;
import java.util.Set;
import org.fawndrum.state.EntryHost;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.HostListing;

/**
 * The part of the table's limits that one host enforces: the limits are shared out evenly first
 * between zones, then between the entry hosts of a zone, so that a cut zone goes on within its part
 * and all parts of one listing add up to the whole. The parts do not follow demand.
 */
public final class LimitParts {
  private LimitParts() {}

  /**
   * Returns a host's part by a listing.
   *
   * @param self the host, which counts whether the list knows it yet or not
   * @param zone its availability zone
   */
  public static double part(HostIdentity self, String zone, HostListing listing) {
    Set<String> zones = new HashSet<>(Set.of(zone));
    Set<String> hosts = new HashSet<>(Set.of(self.host()));
    for (EntryHost host : listing.entryHosts()) {
      zones.add(host.zone());
      if (host.zone().equals(zone)) {
        hosts.add(host.name());
      }
    }
    return 1.0 / zones.size() / hosts.size();
  }
}
