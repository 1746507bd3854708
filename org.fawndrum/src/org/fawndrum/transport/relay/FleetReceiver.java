// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.List;
import java.util.function.Consumer;
import org.fawndrum.coordination.membership.FleetMember;
import org.fawndrum.coordination.membership.FleetReport;
import org.fawndrum.protocol.CrashCodec;
import org.fawndrum.protocol.FleetCodec;
import org.fawndrum.protocol.StorePosition;
import org.fawndrum.protocol.wire.FleetNews;
import org.fawndrum.protocol.wire.KnowledgeRequest;
import org.fawndrum.protocol.wire.PeerMessage;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.transport.HostClock;
import org.fawndrum.transport.peer.PeerNetwork;

/**
 * Hands messages of other daemons to the threads that they concern. Messages of other kinds are
 * passed over. Safe for all threads.
 */
final class FleetReceiver implements PeerNetwork.Receiver {
  private final Consumer<FleetEvent> fleet;
  private final Knowledge knowledge;
  private final HostClock clock;

  /** What this host and others know of the store. */
  interface Knowledge {
    /** Returns what this host can tell another one. */
    PeerMessage.Builder reply(KnowledgeRequest request);

    /** Takes note of how far another daemon has read. */
    void told(FleetMember peer, StoreView view);
  }

  FleetReceiver(Consumer<FleetEvent> fleet, Knowledge knowledge, HostClock clock) {
    this.fleet = fleet;
    this.knowledge = knowledge;
    this.clock = clock;
  }

  @Override
  public void received(PeerMessage message, Consumer<PeerMessage.Builder> reply) {
    if (message.hasKnowledgeRequest()) {
      reply.accept(knowledge.reply(message.getKnowledgeRequest()));
    } else if (message.hasFleetNews()) {
      received(message.getFleetNews());
    }
  }

  private void received(FleetNews news) {
    long nowMs = clock.nowMs();
    FleetMember sender = FleetCodec.read(news.getSender());
    List<FleetReport> reports =
        news.getReportsList().stream().map(one -> FleetCodec.read(one, nowMs)).toList();
    List<FleetMember> known = news.getKnownList().stream().map(FleetCodec::read).toList();
    CrashesFrom crashes =
        new CrashesFrom(
            sender.address(),
            CrashCodec.read(news.getCrashes(), nowMs),
            news.getCrashes().getWhole(),
            news.getCrashSummary());
    List<HostIdentity> leaving = FleetCodec.readEndpoints(news.getLeavingList());
    fleet.accept(
        new FleetEvent.Heard(sender, news.getSubscribes(), reports, known, crashes, leaving));
    knowledge.told(
        sender,
        new StoreView(
            news.getConfigurationRevision(),
            new StorePosition(news.getEndpointsEra(), news.getEndpointsChanged())));
  }
}
