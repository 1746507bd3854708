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
 * @param issuesPermits whether it issues permits for endpoints with a rate; false until it may do
 *     so after its start, once it shuts down, and for builds that know no permits
 * @param proxyPort the port, at its address, at which it proxies requests for daemons that have
 *     lost their links to endpoints; {@link #NO_PROXY} if it does not
 */
public record FleetMember(
    HostIdentity identity,
    HostAddress address,
    String zone,
    long capacity,
    boolean issuesPermits,
    int proxyPort) {
  /** The port of a daemon that proxies no requests, because it shuts down or is an older build. */
  public static final int NO_PROXY = 0;

  /** Creates a daemon that issues permits and proxies no requests. */
  public FleetMember(HostIdentity identity, HostAddress address, String zone, long capacity) {
    this(identity, address, zone, capacity, true, NO_PROXY);
  }

  /** Returns this daemon as long as it may not issue permits after its start. */
  public FleetMember starting() {
    return new FleetMember(identity, address, zone, capacity, false, proxyPort);
  }

  /** Returns this daemon once it may issue permits. */
  public FleetMember issuing() {
    return new FleetMember(identity, address, zone, capacity, true, proxyPort);
  }

  /** Returns this daemon once it shuts down. */
  public FleetMember stopping() {
    return new FleetMember(identity, address, zone, capacity, false, NO_PROXY);
  }

  /** Returns where it proxies requests, if it does. */
  public HostAddress proxyAddress() {
    return new HostAddress(address.ip(), proxyPort);
  }

  // Explicit, because the generated ones build their code at run time, at each start of a daemon.
  @Override
  public boolean equals(Object object) {
    return object instanceof FleetMember other
        && capacity == other.capacity
        && issuesPermits == other.issuesPermits
        && proxyPort == other.proxyPort
        && identity.equals(other.identity)
        && address.equals(other.address)
        && zone.equals(other.zone);
  }

  @Override
  public int hashCode() {
    int hash = 31 * (31 * identity.hashCode() + address.hashCode()) + zone.hashCode();
    hash = 31 * hash + Long.hashCode(capacity);
    return 31 * (31 * hash + Boolean.hashCode(issuesPermits)) + proxyPort;
  }
}
