// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.List;
import org.fawndrum.coordination.crash.CrashNews;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;

/** Tells other daemons what this host learned about endpoints. Never blocks. */
interface FleetTeller {
  /** Tells all daemons about endpoints that ended under requests. */
  void crashes(CrashNews news);

  /** Tells one daemon all that is known here of such endpoints. */
  void allCrashes(HostAddress to, CrashNews all);

  /** Tells all daemons about endpoints that leave. */
  void leaving(List<HostIdentity> endpoints);
}
