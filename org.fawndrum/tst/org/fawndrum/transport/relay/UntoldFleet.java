// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.List;
import org.fawndrum.coordination.crash.CrashNews;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;

/** For hosts in tests that are alone. */
final class UntoldFleet implements FleetTeller {
  @Override
  public void crashes(CrashNews news) {
    // Nobody is there to be told.
  }

  @Override
  public void allCrashes(HostAddress to, CrashNews all) {
    // Nobody is there to be told.
  }

  @Override
  public void leaving(List<HostIdentity> endpoints) {
    // Nobody is there to be told.
  }
}
