// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.fawndrum.coordination.crash.CrashUpdate;
import org.fawndrum.coordination.limit.PermitDemand;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;

/** Passes the decision duty's findings about endpoints to the fleet duty. Thread-safe. */
final class FleetPublisher implements EndpointEventPublisher {
  private final Consumer<FleetEvent> fleet;
  private final Consumer<HostIdentity> restarts;

  /**
   * Creates a publisher.
   *
   * @param fleet receives events for the fleet duty; must not block
   * @param restarts receives discovered incarnations of endpoints; must not block
   */
  FleetPublisher(Consumer<FleetEvent> fleet, Consumer<HostIdentity> restarts) {
    this.fleet = fleet;
    this.restarts = restarts;
  }

  @Override
  public void publishCrashes(CrashUpdate crashes) {
    if (crashes.hops() <= CrashUpdate.MAX_HOPS) {
      fleet.accept(new FleetEvent.EndpointCrashes(Optional.empty(), crashes));
    }
  }

  @Override
  public void sendAllCrashes(HostAddress to, CrashUpdate all) {
    fleet.accept(new FleetEvent.EndpointCrashes(Optional.of(to), all));
  }

  @Override
  public void demandPermits(List<PermitDemand> demands) {
    fleet.accept(new FleetEvent.PermitsDemanded(demands));
  }

  @Override
  public void restartDiscovered(HostIdentity later) {
    restarts.accept(later);
  }

  @Override
  public void publishShutdowns(List<HostIdentity> endpoints) {
    fleet.accept(new FleetEvent.EndpointsShuttingDown(endpoints));
  }
}
