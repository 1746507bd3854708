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
 */
public record FleetMember(HostIdentity identity, HostAddress address, String zone, long capacity) {}
