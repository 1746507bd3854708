// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.List;
import java.util.function.Consumer;
import org.fawndrum.coordination.engine.EngineUpdate;
import org.fawndrum.coordination.limit.PermitGrant;
import org.fawndrum.coordination.membership.FleetReport;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;

/** Receives updates about the other daemons and from them. Its methods must not block. */
interface FleetListener {
  /** Called when other daemons reported their work. */
  void reportsReceived(List<FleetReport> reports);

  /** Called when another daemon counts as crashed. */
  void daemonGone(HostIdentity daemon);

  /** Called when all of this host's work is to be reported; {@code reply} accepts the work. */
  void workRequested(Consumer<List<EngineUpdate>> reply);

  /** Called when another daemon reported endpoints that crashed during requests. */
  void crashesReceived(PeerCrashReport report);

  /** Called when another daemon reported endpoints that are shutting down. */
  void shutdownsReceived(HostIdentity daemon, List<HostIdentity> endpoints);

  /** Called when another daemon reported that the rate of an endpoint has changed. */
  void rateChanged();

  /** Called when permits were granted to this host, or are to be expected. */
  void permitsGranted(List<PermitGrant> grants);

  /** Called when another daemon may lack crashes that are known here. */
  void crashesRequested(HostAddress daemon);
}
