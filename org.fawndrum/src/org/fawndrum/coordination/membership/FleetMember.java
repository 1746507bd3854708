// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.membership;

import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;

/**
 * One daemon of the fleet, as it describes itself.
 *
 * @param identity its host and incarnation
 * @param address where other daemons reach it
 * @param zone its availability zone
 * @param capacity its capacity for forwarding reports of others; only compared, larger is more
 * @param issuesPermits whether it issues permits for endpoints with a rate; false once it shuts
 *     down, and for builds that know no permits
 */
public record FleetMember(
    HostIdentity identity, HostAddress address, String zone, long capacity, boolean issuesPermits) {
  /** Creates a daemon that issues permits. */
  public FleetMember(HostIdentity identity, HostAddress address, String zone, long capacity) {
    this(identity, address, zone, capacity, true);
  }

  /** Returns this daemon once it shuts down. */
  public FleetMember stopping() {
    return new FleetMember(identity, address, zone, capacity, false);
  }

  // Explicit, because the generated ones build their code at run time, at each start of a daemon.
  @Override
  public boolean equals(Object object) {
    return object instanceof FleetMember other
        && capacity == other.capacity
        && issuesPermits == other.issuesPermits
        && identity.equals(other.identity)
        && address.equals(other.address)
        && zone.equals(other.zone);
  }

  @Override
  public int hashCode() {
    return 31
            * (31 * (31 * (31 * identity.hashCode() + address.hashCode()) + zone.hashCode())
                + Long.hashCode(capacity))
        + Boolean.hashCode(issuesPermits);
  }
}
