// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.ArrayList;
import java.util.List;
import org.fawndrum.coordination.membership.FleetMember;
import org.fawndrum.coordination.membership.FleetOverlay;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.transport.peer.PeerNetwork;

/**
 * Logs appearing and silent daemons, and reports silent ones to the listener. Daemons that appear
 * together share a line: a host that starts learns of all others at once. Confined to one thread.
 */
final class MemberWatcher implements FleetOverlay.Watcher {
  private final FleetListener listener;
  private final PeerNetwork network;
  private final HostLog log;
  private final List<HostIdentity> appeared = new ArrayList<>();

  MemberWatcher(FleetListener listener, PeerNetwork network, HostLog log) {
    this.listener = listener;
    this.network = network;
    this.log = log;
  }

  @Override
  public void appeared(FleetMember peer) {
    appeared.add(peer.identity());
  }

  @Override
  public void gone(FleetMember peer, long silentMs) {
    logAppeared();
    log.event(LogEvent.PEER_SUSPECTED, peer.identity(), Long.toString(silentMs));
    listener.daemonGone(peer.identity());
    network.disconnect(peer.address());
  }

  /** Logs the daemons that have appeared since the last call. */
  void logAppeared() {
    if (appeared.size() == 1) {
      log.event(LogEvent.PEER_ALIVE, appeared.get(0));
    } else if (!appeared.isEmpty()) {
      log.event(LogEvent.PEERS_ALIVE, List.copyOf(appeared));
    }
    appeared.clear();
  }
}
