// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.fawndrum.transport.HostClock;
import org.junit.jupiter.api.Test;

/** What an outdated configuration may be used for, with keys that need proof and without. */
class ConfigurationFreshnessTest {
  private static final long NEVER_CONFIRMED_AGE_MS = -HostClock.NEVER_MS;

  private static RelayBounds bounds(boolean keysNeedProof) {
    return new RelayBounds(keysNeedProof, 5_000, 2_000, 2_000, 8_000, 0.2, 100, 10_000, 120);
  }

  @Test
  void keysThatNeedProofAreRejectedBeforeTheLimit() {
    assertTrue(ConfigurationFreshness.acceptsKeys(bounds(true), 4_500));
    assertFalse(ConfigurationFreshness.acceptsKeys(bounds(true), 4_700));
    assertFalse(ConfigurationFreshness.acceptsKeys(bounds(true), NEVER_CONFIRMED_AGE_MS));
  }

  @Test
  void keysThatNeedNoProofStayValid() {
    assertTrue(ConfigurationFreshness.acceptsKeys(bounds(false), 60_000));
    assertTrue(ConfigurationFreshness.acceptsKeys(bounds(false), NEVER_CONFIRMED_AGE_MS));
  }

  @Test
  void hostWithoutProofAcceptsNoCallers() {
    assertTrue(ConfigurationFreshness.acceptsCallers(bounds(true), 4_900, true));
    assertFalse(ConfigurationFreshness.acceptsCallers(bounds(true), 5_100, false));
  }

  @Test
  void withoutKeyProofOnlyADisconnectedHostAcceptsNoCallers() {
    assertTrue(ConfigurationFreshness.acceptsCallers(bounds(false), 60_000, false));
    assertFalse(ConfigurationFreshness.acceptsCallers(bounds(false), 60_000, true));
    assertTrue(ConfigurationFreshness.acceptsCallers(bounds(false), 1_000, true));
  }
}
