// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.fawndrum.coordination.membership.FleetReport;
import org.fawndrum.state.HostIdentity;
import org.junit.jupiter.api.Test;

/** When buffered reports are due. */
class ReportBufferTest {
  private static final HostIdentity FROM = new HostIdentity("host-1", 1);

  private final ReportBuffer buffer = new ReportBuffer();

  private static FleetReport report(long sequence, boolean complete) {
    return new FleetReport(
        FROM, Optional.empty(), sequence, FleetReport.ALL_ZONES, complete, List.of());
  }

  @Test
  void completeReportsWaitForTheMaximumInterval() {
    buffer.drain(1_000);
    buffer.add(List.of(report(1, true)), 1_010);
    assertEquals(1_300, buffer.dueMs(2));
  }

  @Test
  void changesAreDueSoonerForFewReceivers() {
    buffer.drain(1_000);
    buffer.add(List.of(report(1, false)), 1_020);
    buffer.add(List.of(report(2, false)), 1_025);
    assertEquals(1_030, buffer.dueMs(2));
    assertEquals(1_040, buffer.dueMs(25));
    assertEquals(1_300, buffer.dueMs(1_000));
  }

  @Test
  void drainReturnsReportsInOrder() {
    buffer.add(List.of(report(1, true), report(2, false)), 1_000);
    assertEquals(List.of(report(1, true), report(2, false)), buffer.drain(1_010));
    assertEquals(List.of(), buffer.drain(1_020));
    assertEquals(1_320, buffer.dueMs(2));
  }
}
