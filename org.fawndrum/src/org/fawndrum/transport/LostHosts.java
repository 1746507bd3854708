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

/** Finds daemons that the platform does not list any more and that are not heard of either. */
final class LostHosts {
  private final Supplier<List<PeerView>> peers;
  private final Consumer<HostEvent.PeerLost> lost;

  LostHosts(Supplier<List<PeerView>> peers, Consumer<HostEvent.PeerLost> lost) {
    this.peers = peers;
    this.lost = lost;
  }

  /** Looks once; an unread list proves nothing about anybody. */
  void look(HostListing listing, long nowMs) {
    if (listing.entryHosts().isEmpty()) {
      return;
    }
    Set<String> listed = new HashSet<>();
    listing.entryHosts().stream().map(EntryHost::name).forEach(listed::add);
    for (PeerView peer : peers.get()) {
      boolean gone = !peer.alive() && !listed.contains(peer.facts().identity().host());
      if (gone) {
        lost.accept(new HostEvent.PeerLost(peer.facts().identity()));
      }
    }
  }
}
