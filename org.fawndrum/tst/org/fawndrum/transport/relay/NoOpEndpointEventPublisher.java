// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.List;
import org.fawndrum.coordination.crash.CrashNews;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;

/** For hosts in tests that are alone. */
final class NoOpEndpointEventPublisher implements EndpointEventPublisher {
  @Override
  public void publishCrashes(CrashNews news) {
    // Nobody is there to be told.
  }

  @Override
  public void sendAllCrashes(HostAddress to, CrashNews all) {
    // Nobody is there to be told.
  }

  @Override
  public void publishShutdowns(List<HostIdentity> endpoints) {
    // Nobody is there to be told.
  }
}
