// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.fawndrum.coordination.Action;
import org.fawndrum.coordination.crash.CrashUpdate;
import org.fawndrum.coordination.engine.EngineUpdate;
import org.fawndrum.coordination.limit.EndpointRateLimits.Statement;
import org.fawndrum.coordination.limit.PermitDemand;
import org.fawndrum.coordination.limit.PermitGrant;
import org.fawndrum.coordination.membership.FleetMember;
import org.fawndrum.coordination.membership.FleetReport;
import org.fawndrum.protocol.wire.PeerMessage;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;

/** An event for {@link FleetDuty}. */
sealed interface FleetEvent {
  /** An update of this host's work. */
  record WorkChanged(Action.BroadcastWork update) implements FleetEvent {}

  /** All of this host's work, for a heartbeat. */
  record AllWork(List<EngineUpdate> work) implements FleetEvent {}

  /**
   * A message of another daemon.
   *
   * @param reply sends an answer on the connection by which the message came; it may be lost
   */
  record MessageReceived(
      FleetMember from,
      boolean subscribes,
      List<FleetReport> reports,
      List<FleetMember> knownMembers,
      PeerCrashReport crashes,
      List<HostIdentity> shuttingDown,
      List<Statement> rates,
      Consumer<PeerMessage.Builder> reply)
      implements FleetEvent {}

  /** The rate that an endpoint accepts has changed; the other daemons are to be notified. */
  record RateChanged(String endpoint) implements FleetEvent {}

  /** This host demands permits. */
  record PermitsDemanded(List<PermitDemand> demands) implements FleetEvent {}

  /** Another daemon demands permits of this one, or grants some to it. */
  record PermitsReceived(FleetMember from, List<PermitDemand> demands, List<PermitGrant> grants)
      implements FleetEvent {}

  /** All messages that had arrived before were passed on as events before this one. */
  record MessagesRead() implements FleetEvent {}

  /** This host shuts down. */
  record Stopping() implements FleetEvent {}

  /** Endpoints are shutting down; the other daemons are to be notified. */
  record EndpointsShuttingDown(List<HostIdentity> endpoints) implements FleetEvent {}

  /** The drained zones have changed; the other daemons are to be notified. */
  record DrainedZonesChanged() implements FleetEvent {}

  /** Endpoints crashed; one daemon receives all crashes known here, or all daemons the new ones. */
  record EndpointCrashes(Optional<HostAddress> to, CrashUpdate crashes) implements FleetEvent {}
}
