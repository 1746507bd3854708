// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;
import org.fawndrum.coordination.engine.EngineNews;
import org.fawndrum.protocol.FleetCodec;
import org.fawndrum.protocol.PeerCodec;
import org.fawndrum.protocol.wire.FleetNews;
import org.fawndrum.protocol.wire.KnowledgeRequest;
import org.fawndrum.protocol.wire.PeerMessage;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.transport.HostClock;
import org.fawndrum.transport.peer.PeerNetwork;

/**
 * Hands messages of other daemons to the threads that they concern. Messages of other kinds are
 * passed over. Safe for all threads.
 */
final class FleetReceiver implements PeerNetwork.Receiver {
  private final Consumer<RelayEvent> decisions;
  private final Consumer<FleetDuty.FleetEvent> fleet;
  private final Function<KnowledgeRequest, PeerMessage.Builder> knowledge;
  private final HostClock clock;

  FleetReceiver(
      Consumer<RelayEvent> decisions,
      Consumer<FleetDuty.FleetEvent> fleet,
      Function<KnowledgeRequest, PeerMessage.Builder> knowledge,
      HostClock clock) {
    this.decisions = decisions;
    this.fleet = fleet;
    this.knowledge = knowledge;
    this.clock = clock;
  }

  @Override
  public void received(PeerMessage message, Consumer<PeerMessage.Builder> reply) {
    if (message.hasKnowledgeRequest()) {
      reply.accept(knowledge.apply(message.getKnowledgeRequest()));
      return;
    }
    if (!message.hasFleetNews()) {
      return;
    }
    HostIdentity sender = PeerCodec.sender(message);
    FleetNews told = message.getFleetNews();
    HostAddress address = new HostAddress(told.getPeerIp(), told.getPeerPort());
    List<HostAddress> known =
        told.getKnownList().stream()
            .map(place -> new HostAddress(place.getIp(), place.getPort()))
            .toList();
    fleet.accept(new FleetDuty.FleetEvent.Heard(sender, address, known));
    List<EngineNews> news = FleetCodec.read(told, clock.nowMs());
    if (!news.isEmpty() || told.getWhole()) {
      decisions.accept(new RelayEvent.Told(sender, news, told.getWhole()));
    }
  }
}
