// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Verifies that hosts which hold too much for their callers are reported. */
class HeldBytesCheckerTest {
  private final HeldBytesChecker held = new HeldBytesChecker(1_000_000);

  @Test
  void tooManyBytesAreReportedOnce() {
    held.recordMetrics("host-1", "bytesHeld 1000000.0\n");
    assertEquals(List.of(), held.violations());
    held.recordMetrics("host-1", "bytesHeld 1.2E6\n");
    held.recordMetrics("host-1", "bytesHeld 1.3E6\n");
    assertEquals(List.of("host-1 holds 1200000 bytes for its callers"), held.violations());
  }
}
