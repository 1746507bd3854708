// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.HashSet;
import java.util.Set;
import org.fawndrum.state.EntryHost;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.HostListing;

/**
 * Computes the fraction of the table's limits that one host enforces. The limits are divided evenly
 * between zones, then between the entry hosts of each zone. A partitioned zone stays within its
 * fraction, and the fractions computed from one listing add up to 1. Demand is not considered.
 */
public final class LimitFractions {
  private LimitFractions() {}

  /**
   * Returns a host's fraction of the limits.
   *
   * @param self the host, which is counted even if the listing does not contain it yet
   * @param zone its availability zone
   */
  public static double fraction(HostIdentity self, String zone, HostListing listing) {
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
