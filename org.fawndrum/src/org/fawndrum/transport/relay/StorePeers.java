// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.List;
import org.fawndrum.coordination.membership.FleetMember;
import org.fawndrum.state.HostAddress;

/** The other daemons, as far as the cached store state needs to know them. Thread-safe. */
interface StorePeers {
  /** Returns the address of the leader of this host's zone; null if this host is the leader. */
  HostAddress zoneLeader();

  /** Returns the live peers, as last determined. */
  List<FleetMember> livePeers();

  /**
   * Returns the addresses of peers from which nothing arrives any more, though they may be reached.
   */
  List<HostAddress> silentPeers();
}
