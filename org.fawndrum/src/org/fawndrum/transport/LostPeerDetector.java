// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.fawndrum.coordination.membership.PeerView;
import org.fawndrum.state.EntryHost;
import org.fawndrum.state.HostListing;

/** Finds daemons that are no longer in the host list of the platform and no longer alive. */
final class LostPeerDetector {
  private final Supplier<List<PeerView>> peers;
  private final Consumer<HostEvent.PeerLost> listener;

  LostPeerDetector(Supplier<List<PeerView>> peers, Consumer<HostEvent.PeerLost> listener) {
    this.peers = peers;
    this.listener = listener;
  }

  /** Reports each lost peer; does nothing while the host list is empty, as it was not read yet. */
  void check(HostListing listing, long nowMs) {
    if (listing.entryHosts().isEmpty()) {
      return;
    }
    Set<String> listed = new HashSet<>();
    listing.entryHosts().stream().map(EntryHost::name).forEach(listed::add);
    for (PeerView peer : peers.get()) {
      boolean isLost = !peer.alive() && !listed.contains(peer.facts().identity().host());
      if (isLost) {
        listener.accept(new HostEvent.PeerLost(peer.facts().identity()));
      }
    }
  }
}
