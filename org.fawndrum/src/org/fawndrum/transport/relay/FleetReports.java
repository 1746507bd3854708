// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.List;
import java.util.function.Consumer;
import org.fawndrum.coordination.engine.EngineNews;
import org.fawndrum.coordination.membership.FleetReport;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;

/** Hands what other daemons report to the decisions. Safe for all threads. */
record FleetReports(Consumer<RelayEvent> decisions) implements FleetListener {
  @Override
  public void reported(List<FleetReport> reports) {
    decisions.accept(new RelayEvent.Told(reports));
  }

  @Override
  public void gone(HostIdentity daemon) {
    decisions.accept(new RelayEvent.DaemonGone(daemon));
  }

  @Override
  public void workWanted(Consumer<List<EngineNews>> reply) {
    decisions.accept(new RelayEvent.WorkWanted(reply));
  }

  @Override
  public void crashesTold(CrashesFrom told) {
    decisions.accept(new RelayEvent.CrashesTold(told));
  }

  @Override
  public void leavingTold(HostIdentity by, List<HostIdentity> endpoints) {
    decisions.accept(new RelayEvent.Leaving(endpoints, by.toString()));
  }

  @Override
  public void crashesWanted(HostAddress by) {
    decisions.accept(new RelayEvent.CrashesWanted(by));
  }
}
