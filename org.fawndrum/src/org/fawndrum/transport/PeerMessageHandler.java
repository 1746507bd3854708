// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import java.util.function.Consumer;
import org.fawndrum.coordination.once.ClaimKey;
import org.fawndrum.protocol.LoadDigest;
import org.fawndrum.protocol.PeerCodec;
import org.fawndrum.protocol.wire.Acknowledgement;
import org.fawndrum.protocol.wire.EndpointStart;
import org.fawndrum.protocol.wire.Heartbeat;
import org.fawndrum.protocol.wire.PeerMessage;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.transport.peer.PeerNetwork;

/** Dispatches messages of other daemons to the decision thread and to the {@link PeerDuty}. */
final class PeerMessageHandler implements PeerNetwork.Receiver {
  private final HostIdentity self;
  private final HostClock clock;
  private final Consumer<HostEvent> decisions;
  private final Consumer<PeerDuty.PeerEvent> members;

  PeerMessageHandler(
      HostIdentity self,
      HostClock clock,
      Consumer<HostEvent> decisions,
      Consumer<PeerDuty.PeerEvent> members) {
    this.self = self;
    this.clock = clock;
    this.decisions = decisions;
    this.members = members;
  }

  @Override
  public void received(PeerMessage message, Consumer<PeerMessage.Builder> reply) {
    HostIdentity sender = PeerCodec.sender(message);
    switch (message.getBodyCase()) {
      case HEARTBEAT -> heartbeat(sender, message.getHeartbeat());
      case CATCH_UP_REQUEST ->
          members.accept(
              new PeerDuty.PeerEvent.CatchUpRequested(message.getCatchUpRequest(), reply));
      case CLAIM_REQUEST -> claimRequested(message, reply);
      case LEDGER_HANDOVER ->
          decisions.accept(
              new HostEvent.ClaimsHandedOver(
                  PeerCodec.handoverEntries(message.getLedgerHandover(), clock.nowMs()),
                  () -> reply.accept(acknowledgement())));
      case LEAVING_NEWS -> {
        for (EndpointStart start : message.getLeavingNews().getEndpointsList()) {
          decisions.accept(
              new HostEvent.EndpointDraining(
                  new HostIdentity(start.getHost(), start.getIncarnation())));
        }
      }
      default -> {}
    }
  }

  private void heartbeat(HostIdentity sender, Heartbeat heartbeat) {
    members.accept(new PeerDuty.PeerEvent.HeartbeatReceived(PeerCodec.facts(sender, heartbeat)));
    if (!heartbeat.getLoadDigest().isEmpty()) {
      byte[] digest = heartbeat.getLoadDigest().toByteArray();
      decisions.accept(new HostEvent.PeerLoadsReported(LoadDigest.read(digest)));
    }
  }

  private PeerMessage.Builder acknowledgement() {
    return PeerCodec.newMessage(self).setAcknowledgement(Acknowledgement.getDefaultInstance());
  }

  private void claimRequested(PeerMessage message, Consumer<PeerMessage.Builder> reply) {
    ClaimKey key = ClaimKey.parse(message.getClaimRequest().getKey());
    if (key == null) {
      return;
    }
    decisions.accept(
        new HostEvent.ClaimRequested(
            key,
            answer ->
                reply.accept(
                    PeerCodec.newMessage(self).setClaimReply(PeerCodec.claimReply(answer)))));
  }
}
