// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.List;
import org.fawndrum.coordination.crash.CrashUpdate;
import org.fawndrum.coordination.limit.PermitDemand;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;

/** Publishes nothing; for tests of hosts without peers. */
final class NoOpEndpointEventPublisher implements EndpointEventPublisher {
  @Override
  public void publishCrashes(CrashUpdate crashes) {
    // There are no peers.
  }

  @Override
  public void sendAllCrashes(HostAddress to, CrashUpdate all) {
    // There are no peers.
  }

  @Override
  public void demandPermits(List<PermitDemand> demands) {
    // Nobody issues permits.
  }

  @Override
  public void restartDiscovered(HostIdentity later) {
    // No endpoint has a rate while it starts.
  }

  @Override
  public void publishShutdowns(List<HostIdentity> endpoints) {
    // There are no peers.
  }
}
