// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;

/**
 * All hosts lost power at the same moment, and callers were not served again when they had started.
 * Few hosts here; docs/incidents/inc23.md has the command for as many as the users have.
 */
class PowerLossTest {
  @TempDir(factory = KeptFolders.class, cleanup = CleanupMode.ON_SUCCESS)
  private Path folder;

  @Test
  void callersAreServedAgainAfterAllHostsLostPower() throws Exception {
    verifyServedAfterLoss(false);
  }

  /** Engines that start with the hosts accept little at first, under permits that hosts issue. */
  @Test
  void callersAreServedAgainAfterHostsAndEndpointsLostPower() throws Exception {
    verifyServedAfterLoss(true);
  }

  private void verifyServedAfterLoss(boolean endpointsToo) throws Exception {
    PowerLoss.Config config =
        new PowerLoss.Config(
            1,
            6,
            6,
            2,
            PowerLoss.STANDIN_LOOPS,
            endpointsToo,
            50,
            3_000,
            3_000,
            1_200,
            15_000,
            3_000,
            folder,
            HostProcess.OPTIONS);
    PowerLoss.Result result = new PowerLoss(config).run();
    String where = result.summary() + ", settings and logs of the daemons in " + folder;
    assertEquals(List.of(), result.violations(), where);
    assertTrue(result.timeline().size() > 1, where);
  }
}
