// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.function.LongSupplier;
import org.fawndrum.coordination.limit.EndpointPermits;
import org.fawndrum.protocol.wire.PeerMessage;
import org.fawndrum.transport.HostClock;
import org.fawndrum.transport.peer.NettyPeerNetwork;
import org.fawndrum.transport.proxy.ProxyServer;

/** Registers the gauges of a host's components. Their names are those of docs/OPERATIONS.md. */
final class RelayGauges {
  /** The kinds of messages that hosts which relay requests send each other. */
  private static final List<PeerMessage.BodyCase> RELAY_KINDS =
      List.of(
          PeerMessage.BodyCase.FLEET_NEWS,
          PeerMessage.BodyCase.KNOWLEDGE_REQUEST,
          PeerMessage.BodyCase.KNOWLEDGE_REPLY,
          PeerMessage.BodyCase.PERMIT_NEWS);

  private final MetricRegistry registry;

  RelayGauges(MetricRegistry registry) {
    this.registry = registry;
  }

  /**
   * Registers the gauges about the state of the store that this host has cached.
   *
   * @param listingAgeMs the age of the list of endpoints, in milliseconds
   */
  void state(
      RouteStore routes, EndpointReader endpoints, LongSupplier listingAgeMs, HostClock clock) {
    registry.registerGauge("configurationRevision", () -> routes.table().revision());
    registry.registerGauge("configurationAgeMs", () -> routes.ageMs(clock.nowMs()));
    registry.registerGauge("endpointsAgeMs", listingAgeMs::getAsLong);
    registry.registerGauge("drainedZones", () -> routes.drains().current().zones().size());
    registry.registerGauge("unusableEntries", endpoints::unusableCount);
  }

  /** Registers the gauges about this process. */
  void process(StartLog startLog) {
    registry.registerGauge("classArchives", startLog::classArchives);
  }

  /** Registers the gauges about requests and decisions. */
  void decisions(RelayDuty decisions, StallWatch stallWatch, EndpointPermits permits) {
    registry.registerGauge("leavingEndpoints", decisions::drainingEndpoints);
    registry.registerGauge("openRequests", decisions::openRequests);
    registry.registerGauge("refusedRequests", () -> decisions.crashingRequests().size());
    registry.registerGauge("decisionsRingFill", decisions::queuedEvents);
    registry.registerGauge("attemptsHoldingMemory", stallWatch::attemptsWithMemory);
    registry.registerGauge("longestSilenceMs", stallWatch::longestSilenceMs);
    registry.registerGauge("permitsUsed", permits::usedCount);
    registry.registerGauge("permitsExpired", permits::expiredCount);
  }

  /** Registers the gauges about this host's own lateness. */
  void lateness(LatenessWatch lateness) {
    registry.registerGauge("hostLateMs", lateness::usualMs);
    registry.registerGauge("requestsRefusedLate", lateness::refusedCount);
  }

  /** Registers the gauges about callers. */
  void callers(RelayServer callers, CallerHolds holds) {
    registry.registerGauge("callerConnections", callers::connections);
    registry.registerGauge("bytesHeld", holds::totalBytes);
    registry.registerGauge("slowCallers", holds::slowCallers);
  }

  /** Registers the gauges about requests that this host proxies for other daemons. */
  void proxy(ProxyServer proxy) {
    registry.registerGauge("proxiedRequests", proxy::openRequests);
  }

  /** Registers the gauges about other daemons. */
  void fleet(FleetDuty fleet, NettyPeerNetwork network) {
    registry.registerGauge("peerBytesSent", () -> network.sent().bytes());
    registry.registerGauge("peerBytesReceived", () -> network.received().bytes());
    for (PeerMessage.BodyCase kind : RELAY_KINDS) {
      registry.registerGauge("peerMessagesSent." + kind, () -> network.sent().of(kind));
      registry.registerGauge("peerMessagesReceived." + kind, () -> network.received().of(kind));
    }
    registry.registerGauge("peers", () -> fleet.livePeers().size());
    registry.registerGauge("permitsIssued", fleet::issuedPermits);
  }
}
