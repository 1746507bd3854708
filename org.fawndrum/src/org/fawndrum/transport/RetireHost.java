// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.fawndrum.coordination.membership.PeerFacts;
import org.fawndrum.coordination.once.CallRegistry;
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
 * The last step of a planned shutdown: hands the keys of requests that must not be repeated over to
 * the living daemons of the zone, then appends to the log that this incarnation is retired. If no
 * daemon accepted the keys nothing is appended, so that the others still assume that this
 * incarnation may hold keys they do not know.
 */
final class RetireHost {
  private final Registration registration;
  private final PeerNetwork network;
  private final PlatformLog platform;
  private final List<PeerFacts> successors;
  private final long nowMs;
  private final HostLog log;

  RetireHost(
      HostIdentity self,
      String zone,
      HostAddress peerAddress,
      PeerNetwork network,
      PlatformLog platform,
      List<PeerFacts> successors,
      long nowMs,
      HostLog log) {
    this.registration = new Registration(self, zone, peerAddress, true);
    this.network = network;
    this.platform = platform;
    this.successors = successors;
    this.nowMs = nowMs;
    this.log = log;
  }

  /** Returns whether the keys were handed over and the retirement was appended to the log. */
  CompletableFuture<Boolean> call(List<CallRegistry.HandedOverKey> keys) {
    List<CompletableFuture<Boolean>> replies = new ArrayList<>();
    for (PeerFacts successor : successors) {
      replies.add(
          network
              .request(
                  successor.address(),
                  PeerCodec.newMessage(registration.identity())
                      .setLedgerHandover(PeerCodec.handover(keys, nowMs)))
              .handle((reply, failure) -> failure == null));
    }
    return CompletableFuture.allOf(replies.toArray(CompletableFuture[]::new))
        .thenCompose(
            done ->
                appendRetirement(
                    keys.size(), replies.stream().filter(CompletableFuture::join).count()));
  }

  private CompletableFuture<Boolean> appendRetirement(int keys, long accepted) {
    if (accepted == 0) {
      return CompletableFuture.completedFuture(false);
    }
    log.event(LogEvent.CLAIMS_HANDED_OVER, Integer.toString(keys), Long.toString(accepted));
    return platform
        .append(LogCodec.registration(registration))
        .handle((offset, failure) -> failure == null);
  }
}
