// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.List;
import org.fawndrum.coordination.crash.CrashUpdate;
import org.fawndrum.coordination.limit.PermitDemand;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;

/** Passes on this host's findings about endpoints, most of them to other daemons. Never blocks. */
interface EndpointEventPublisher {
  /** Sends endpoint crashes to all daemons. */
  void publishCrashes(CrashUpdate crashes);

  /** Sends all endpoint crashes known here to one daemon. */
  void sendAllCrashes(HostAddress to, CrashUpdate all);

  /** Demands permits of the daemons that issue them. */
  void demandPermits(List<PermitDemand> demands);

  /** Called when a later incarnation of an endpoint was discovered before its entry was read. */
  void restartDiscovered(HostIdentity later);

  /** Sends to all daemons that endpoints are shutting down. */
  void publishShutdowns(List<HostIdentity> endpoints);
}
