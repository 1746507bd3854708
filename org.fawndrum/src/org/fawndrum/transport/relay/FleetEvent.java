// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.List;
import java.util.Optional;
import org.fawndrum.coordination.Action;
import org.fawndrum.coordination.crash.CrashNews;
import org.fawndrum.coordination.engine.EngineNews;
import org.fawndrum.coordination.membership.FleetMember;
import org.fawndrum.coordination.membership.FleetReport;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;

/** An event for the thread that knows the other daemons. */
sealed interface FleetEvent {
  /** This host's work changed. */
  record Changed(Action.Announce news) implements FleetEvent {}

  /** All of this host's work, for a heartbeat. */
  record All(List<EngineNews> work) implements FleetEvent {}

  /** Another daemon sent something. */
  record Heard(
      FleetMember from,
      boolean subscribes,
      List<FleetReport> reports,
      List<FleetMember> known,
      CrashesFrom crashes,
      List<HostIdentity> leaving)
      implements FleetEvent {}

  /** Others should know of endpoints that leave. */
  record Leaving(List<HostIdentity> endpoints) implements FleetEvent {}

  /** Others should know of endpoints that ended: one daemon all of it, or all what is news. */
  record Crashes(Optional<HostAddress> to, CrashNews news) implements FleetEvent {}
}
