// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.fawndrum.coordination.crash.CrashUpdate;
import org.fawndrum.coordination.membership.FleetMember;
import org.fawndrum.coordination.membership.FleetReport;
import org.fawndrum.protocol.CrashCodec;
import org.fawndrum.protocol.FleetCodec;
import org.fawndrum.protocol.PermitCodec;
import org.fawndrum.protocol.StorePosition;
import org.fawndrum.protocol.ZoneDrains;
import org.fawndrum.protocol.wire.FleetNews;
import org.fawndrum.protocol.wire.KnowledgeRequest;
import org.fawndrum.protocol.wire.PeerMessage;
import org.fawndrum.protocol.wire.PermitNews;
import org.fawndrum.protocol.wire.WorkReport;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.transport.HostClock;
import org.fawndrum.transport.peer.PeerNetwork;

/**
 * Dispatches messages of other daemons to the threads that process them. Messages of other kinds
 * are ignored. Thread-safe.
 */
final class FleetReceiver implements PeerNetwork.Receiver {
  private final Consumer<FleetEvent> fleet;
  private final Supplier<StoreSync> storeSync;
  private final HostClock clock;

  /** Exchanges cached store state with peers. */
  interface StoreSync {
    /** Returns the reply to a peer's query. */
    PeerMessage.Builder reply(KnowledgeRequest request);

    /** Records how far a peer has read the store. */
    void peerUpdated(FleetMember peer, StorePositions positions);
  }

  FleetReceiver(Consumer<FleetEvent> fleet, Supplier<StoreSync> storeSync, HostClock clock) {
    this.fleet = fleet;
    this.storeSync = storeSync;
    this.clock = clock;
  }

  @Override
  public void received(PeerMessage message, Consumer<PeerMessage.Builder> reply) {
    if (message.hasKnowledgeRequest()) {
      reply.accept(storeSync.get().reply(message.getKnowledgeRequest()));
    } else if (message.hasFleetNews()) {
      received(message.getFleetNews(), reply);
    } else if (message.hasPermitNews()) {
      PermitNews news = message.getPermitNews();
      fleet.accept(
          new FleetEvent.PermitsReceived(
              FleetCodec.read(news.getSender()),
              PermitCodec.readDemands(news.getDemandsList()),
              PermitCodec.readGrants(news.getGrantsList())));
    }
  }

  private void received(FleetNews message, Consumer<PeerMessage.Builder> reply) {
    long nowMs = clock.nowMs();
    FleetMember sender = FleetCodec.read(message.getSender());
    List<FleetReport> reports = new ArrayList<>(message.getReportsCount());
    for (WorkReport report : message.getReportsList()) {
      reports.add(FleetCodec.read(report, nowMs));
    }
    List<FleetMember> knownMembers =
        message.getKnownCount() == 0
            ? List.of()
            : message.getKnownList().stream().map(FleetCodec::read).toList();
    PeerCrashReport crashes =
        new PeerCrashReport(
            sender.address(),
            message.hasCrashes() ? CrashCodec.read(message.getCrashes(), nowMs) : CrashUpdate.NONE,
            message.getCrashes().getWhole(),
            message.getCrashSummary());
    List<HostIdentity> shuttingDown = FleetCodec.readEndpoints(message.getLeavingList());
    fleet.accept(
        new FleetEvent.MessageReceived(
            sender,
            message.getSubscribes(),
            reports,
            knownMembers,
            crashes,
            shuttingDown,
            PermitCodec.readRates(message.getRatesList(), nowMs),
            reply));
    storeSync
        .get()
        .peerUpdated(
            sender,
            new StorePositions(
                message.getConfigurationRevision(),
                new StorePosition(message.getEndpointsEra(), message.getEndpointsChanged()),
                message.hasZoneDrains()
                    ? ZoneDrains.read(message.getZoneDrains())
                    : ZoneDrains.NONE));
  }
}
