// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.List;
import java.util.function.Consumer;
import org.fawndrum.coordination.engine.EngineNews;
import org.fawndrum.coordination.membership.FleetReport;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;

/** Takes what is learned of the other daemons and from them. Its methods must not block. */
interface FleetListener {
  /** Other daemons reported. */
  void reported(List<FleetReport> reports);

  /** Another daemon is gone. */
  void gone(HostIdentity daemon);

  /** All of this host's work is wanted. */
  void workWanted(Consumer<List<EngineNews>> reply);

  /** Another daemon told about endpoints that ended under requests. */
  void crashesTold(CrashesFrom told);

  /** Another daemon told about endpoints that leave. */
  void leavingTold(HostIdentity by, List<HostIdentity> endpoints);

  /** Another daemon may know less about such endpoints. */
  void crashesWanted(HostAddress by);
}
