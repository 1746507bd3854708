// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;

/**
 * The other daemons that are alive, and the addresses where others may be. Confined to one thread,
 * but for {@link #alive}, which all threads may call. Times are those of the host's clock, in
 * milliseconds.
 */
final class KnownDaemons {
  /** A daemon that was silent for so long counts as gone, in milliseconds. */
  private static final long GONE_MS = 3_500;

  /** How long the address of a silent daemon is tried, in milliseconds. */
  private static final long FORGET_MS = 60_000;

  private final HostAddress own;
  private final Map<HostAddress, Peer> peers = new HashMap<>();
  private volatile List<HostAddress> alive = List.of();

  /** Another daemon, or an address where one may be. */
  private static final class Peer {
    HostIdentity identity;
    long heardMs;

    Peer(long knownMs) {
      heardMs = knownMs;
    }
  }

  /** Learns of daemons that were silent for too long. */
  interface Watcher {
    /** A daemon counts as gone from now on. */
    void gone(HostAddress address, HostIdentity daemon, long silentMs);
  }

  /**
   * Makes an empty set.
   *
   * @param own where this host is; passed over when others name it
   */
  KnownDaemons(HostAddress own) {
    this.own = own;
  }

  /**
   * Takes note of a daemon that was heard; returns the one that was alive there before, or null.
   */
  HostIdentity heard(HostIdentity daemon, HostAddress address, long nowMs) {
    Peer peer = peers.computeIfAbsent(address, key -> new Peer(nowMs));
    HostIdentity before = peer.identity;
    peer.identity = daemon;
    peer.heardMs = nowMs;
    return before;
  }

  /** Takes note of addresses where other daemons may be. */
  void learn(Collection<HostAddress> addresses, long nowMs) {
    for (HostAddress address : addresses) {
      if (!address.equals(own)) {
        peers.computeIfAbsent(address, key -> new Peer(nowMs));
      }
    }
  }

  /** Drops daemons that were silent for too long, and addresses that were so for much longer. */
  void forget(long nowMs, Watcher watcher) {
    Iterator<Map.Entry<HostAddress, Peer>> all = peers.entrySet().iterator();
    while (all.hasNext()) {
      Map.Entry<HostAddress, Peer> entry = all.next();
      Peer peer = entry.getValue();
      long silentMs = nowMs - peer.heardMs;
      if (peer.identity != null && silentMs > GONE_MS) {
        HostIdentity daemon = peer.identity;
        peer.identity = null;
        watcher.gone(entry.getKey(), daemon, silentMs);
      }
      if (silentMs > FORGET_MS) {
        all.remove();
      }
    }
  }

  /** Returns all addresses where others are or may be. */
  Set<HostAddress> addresses() {
    return peers.keySet();
  }

  /** Returns where daemons are now that are alive. */
  List<HostAddress> aliveNow() {
    return peers.entrySet().stream()
        .filter(peer -> peer.getValue().identity != null)
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Lets other threads see which daemons are alive now. */
  void showAlive() {
    alive = aliveNow();
  }

  /** Returns where the daemons are that were alive when they were last shown. */
  List<HostAddress> alive() {
    return alive;
  }
}
