// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import java.util.List;
import org.fawndrum.coordination.membership.PeerView;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;
import org.fawndrum.protocol.OperatorMessages.PeerStatus;
import org.fawndrum.protocol.OperatorMessages.Status;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.TableRevision;

/** Collects the status of a host for operators. */
final class HostStatus {
  private final HostIdentity self;
  private final String zone;
  private final HostClock clock;
  private final TableStore tables;
  private final DecisionDuty decisions;
  private final LogFollower follower;
  private final DecisionFeed feed;
  private final PeerDuty members;
  private final HostLog log;
  private volatile boolean readyLogged;

  HostStatus(
      HostIdentity self,
      String zone,
      HostClock clock,
      TableStore tables,
      DecisionDuty decisions,
      LogFollower follower,
      DecisionFeed feed,
      PeerDuty members,
      HostLog log) {
    this.self = self;
    this.zone = zone;
    this.clock = clock;
    this.tables = tables;
    this.decisions = decisions;
    this.follower = follower;
    this.feed = feed;
    this.members = members;
    this.log = log;
  }

  Status read(boolean draining, boolean drained) {
    DecisionDuty.View view = decisions.view();
    TableRevision table = tables.table();
    return new Status(
        self.host(),
        self.incarnation(),
        zone,
        Versions.current(),
        draining ? (drained ? "drained" : "draining") : readiness(),
        follower.platformUp(),
        table.revision(),
        table.position(),
        view.openRequests(),
        view.waitingRequests(),
        view.registered(),
        view.eligibleEndpoints().stream().map(Endpoint::name).sorted().toList(),
        view.drainingEndpoints().stream().map(HostIdentity::toString).sorted().toList(),
        decisions.ring().refused() + feed.dropped(),
        peers());
  }

  private List<PeerStatus> peers() {
    long nowMs = clock.nowMs();
    return members.peers().stream().map(peer -> peer(peer, nowMs)).toList();
  }

  private static PeerStatus peer(PeerView peer, long nowMs) {
    return new PeerStatus(
        peer.facts().identity().host(),
        peer.facts().identity().incarnation(),
        peer.facts().zone(),
        peer.alive() ? "alive" : "suspected",
        peer.facts().tableRevision(),
        peer.facts().draining(),
        nowMs - peer.lastHeartbeatMs());
  }

  private String readiness() {
    DecisionDuty.View view = decisions.view();
    boolean ready =
        follower.everCaughtUp()
            && tables.table().revision() >= 0
            && !view.eligibleEndpoints().isEmpty();
    if (ready && !readyLogged) {
      readyLogged = true;
      log.event(
          LogEvent.HOST_READY,
          Long.toString(tables.table().revision()),
          Integer.toString(view.eligibleEndpoints().size()));
    }
    return ready ? "ready" : "starting";
  }
}
