// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Verifies that requests to drained zones are reported, unless their host could not know. */
class DrainCheckerTest {
  private final DrainChecker drains = new DrainChecker(id -> id.substring(0, id.indexOf('/')));

  private int violationsOfArrivalAt(long nowMs) {
    int before = drains.violations().size();
    drains.recordArrival("host-0/1", "engine-0", "zone-a", nowMs);
    drains.recordArrival("host-0/2", "engine-4", "zone-b", nowMs);
    return drains.violations().size() - before;
  }

  @Test
  void arrivalsLaterThanTheBoundAreReportedUntilTheZoneIsTakenBack() {
    drains.recordDrained("zone-a", 10_000);
    assertEquals(0, violationsOfArrivalAt(15_000));
    assertEquals(1, violationsOfArrivalAt(15_001));
    assertEquals(
        List.of("host-0/1 reached engine-0 5001 ms after its zone zone-a was drained"),
        drains.violations());
    drains.recordTakenBack("zone-a");
    assertEquals(0, violationsOfArrivalAt(15_002));
  }

  @Test
  void suspendedHostCountsLaterAndOthersAtOnce() {
    drains.recordDrained("zone-a", 10_000);
    drains.recordSignal("host-0", 14_000);
    drains.recordSignal("host-1", 14_000);
    assertEquals(0, violationsOfArrivalAt(19_000));
    assertEquals(1, violationsOfArrivalAt(19_001));
  }

  @Test
  void drainThatNoHostCouldReadCountsAfterTheOutage() {
    drains.recordStoreDown(true, 9_000);
    drains.recordDrained("zone-a", 10_000);
    assertEquals(0, violationsOfArrivalAt(16_000));
    drains.recordStoreDown(false, 17_000);
    assertEquals(0, violationsOfArrivalAt(22_000));
    assertEquals(1, violationsOfArrivalAt(22_001));
  }

  @Test
  void drainBeforeAnOutageCountsDuringIt() {
    drains.recordDrained("zone-a", 10_000);
    drains.recordStoreDown(true, 10_500);
    assertEquals(1, violationsOfArrivalAt(15_001));
  }

  @Test
  void requestHeldUpByAnImpairedLinkIsAccepted() {
    drains.recordDrained("zone-a", 10_000);
    drains.recordImpaired("engine-0");
    assertEquals(0, violationsOfArrivalAt(16_000));
    drains.recordSound("engine-0", 16_000);
    assertEquals(0, violationsOfArrivalAt(16_999));
    assertEquals(1, violationsOfArrivalAt(17_000));
  }
}
