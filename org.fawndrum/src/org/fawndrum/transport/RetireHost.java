// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.fawndrum.coordination.membership.PeerFacts;
import org.fawndrum.coordination.once.OnceLedger;
import org.fawndrum.coordination.once.Registration;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;
import org.fawndrum.protocol.LogCodec;
import org.fawndrum.protocol.PeerCodec;
import org.fawndrum.protocol.PlatformLog;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.transport.peer.PeerNetwork;

/**
 * The last step of a planned stop: hands the keys of calls that may not be repeated to the living
 * daemons of the zone, then tells the log that this incarnation runs none any more. Without a
 * daemon that took them the log is not told, so that others go on counting on keys they cannot see.
 */
final class RetireHost {
  private final Registration registration;
  private final PeerNetwork network;
  private final PlatformLog platform;
  private final List<PeerFacts> heirs;
  private final long nowMs;
  private final HostLog log;

  RetireHost(
      HostIdentity self,
      String zone,
      HostAddress peerAddress,
      PeerNetwork network,
      PlatformLog platform,
      List<PeerFacts> heirs,
      long nowMs,
      HostLog log) {
    this.registration = new Registration(self, zone, peerAddress, true);
    this.network = network;
    this.platform = platform;
    this.heirs = heirs;
    this.nowMs = nowMs;
    this.log = log;
  }

  /** Gives true when the keys were handed over and the log was told. */
  CompletableFuture<Boolean> call(List<OnceLedger.Inherited> keys) {
    List<CompletableFuture<Boolean>> asked = new ArrayList<>();
    for (PeerFacts heir : heirs) {
      asked.add(
          network
              .ask(
                  heir.address(),
                  PeerCodec.from(registration.identity())
                      .setLedgerHandover(PeerCodec.handover(keys, nowMs)))
              .handle((reply, failure) -> failure == null));
    }
    return CompletableFuture.allOf(asked.toArray(CompletableFuture[]::new))
        .thenCompose(
            all -> tellLog(keys.size(), asked.stream().filter(CompletableFuture::join).count()));
  }

  private CompletableFuture<Boolean> tellLog(int keys, long taken) {
    if (taken == 0) {
      return CompletableFuture.completedFuture(false);
    }
    log.event(LogEvent.HANDED_OVER, Integer.toString(keys), Long.toString(taken));
    return platform
        .append(LogCodec.registration(registration))
        .handle((offset, failure) -> failure == null);
  }
}
