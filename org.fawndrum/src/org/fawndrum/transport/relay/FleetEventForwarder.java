// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.List;
import java.util.function.Consumer;
import org.fawndrum.coordination.engine.EngineUpdate;
import org.fawndrum.coordination.limit.PermitGrant;
import org.fawndrum.coordination.membership.FleetReport;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;

/** Forwards reports of other daemons to the decision duty. Thread-safe. */
record FleetEventForwarder(Consumer<RelayEvent> decisions) implements FleetListener {
  @Override
  public void reportsReceived(List<FleetReport> reports) {
    decisions.accept(new RelayEvent.ReportsReceived(reports));
  }

  @Override
  public void daemonGone(HostIdentity daemon) {
    decisions.accept(new RelayEvent.DaemonGone(daemon));
  }

  @Override
  public void workRequested(Consumer<List<EngineUpdate>> reply) {
    decisions.accept(new RelayEvent.WorkRequested(reply));
  }

  @Override
  public void crashesReceived(PeerCrashReport report) {
    decisions.accept(new RelayEvent.CrashesReceived(report));
  }

  @Override
  public void shutdownsReceived(HostIdentity daemon, List<HostIdentity> endpoints) {
    decisions.accept(new RelayEvent.EndpointsShuttingDown(endpoints, daemon.toString()));
  }

  @Override
  public void rateChanged() {
    decisions.accept(new RelayEvent.RestrictionsChanged());
  }

  @Override
  public void permitsGranted(List<PermitGrant> grants) {
    decisions.accept(new RelayEvent.PermitsGranted(grants));
  }

  @Override
  public void crashesRequested(HostAddress daemon) {
    decisions.accept(new RelayEvent.CrashesRequested(daemon));
  }
}
