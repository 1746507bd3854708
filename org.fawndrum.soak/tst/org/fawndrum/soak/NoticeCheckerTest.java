// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Verifies that requests to draining endpoints and during backoffs are reported, and no others. */
class NoticeCheckerTest {
  private final NoticeChecker notices = new NoticeChecker();

  private void assertViolation(String text) {
    assertEquals(1, notices.violations().size(), notices.violations().toString());
    assertTrue(notices.violations().get(0).contains(text), notices.violations().get(0));
  }

  /** Sends a request whose answer carries a draining notice, and another one later. */
  private void drainingNoticeThenSend(long sentMs) {
    notices.recordSent("told", "host-0", 10_000);
    notices.recordDrainingNotice("told", "engine-0", 10_100);
    notices.recordSent("later", "host-0", sentMs);
  }

  @Test
  void lateRequestToDrainingEndpointIsReported() {
    drainingNoticeThenSend(12_101);
    notices.recordArrival("later", "engine-0", 12_110);
    assertViolation("later reached engine-0, sent 2001 ms after");
  }

  @Test
  void earlyRequestsOtherHostsAndNextIncarnationAreAccepted() {
    drainingNoticeThenSend(12_100);
    notices.recordSent("other", "host-1", 13_000);
    notices.recordArrival("later", "engine-0", 14_000);
    notices.recordArrival("other", "engine-0", 14_000);
    notices.recordArrival("later", "engine-1", 14_000);
    notices.recordRestart("engine-0");
    notices.recordSent("last", "host-0", 15_000);
    notices.recordArrival("last", "engine-0", 15_001);
    assertEquals(List.of(), notices.violations());
  }

  private void arriveDuringBackoff(String... arrivals) {
    notices.recordSent("refused", "host-0", 10_000);
    notices.recordBackoff("refused", "engine-0", 2_000, 10_000);
    for (String arrival : arrivals) {
      notices.recordSent(arrival, "host-0", 10_000);
      notices.recordArrival(arrival, "engine-0", 10_600);
    }
  }

  @Test
  void thirdRequestDuringBackoffIsReported() {
    arriveDuringBackoff("a", "b", "c", "d");
    assertViolation("c reached engine-0 during its backoff");
  }

  @Test
  void requestsInTransitAfterBackoffOrUpToTwoDuringItAreAccepted() {
    arriveDuringBackoff("a", "b");
    notices.recordArrival("a", "engine-0", 10_500);
    notices.recordArrival("b", "engine-0", 12_000);
    assertEquals(List.of(), notices.violations());
  }

  @Test
  void signalledHostMayMissABackoff() {
    notices.recordSent("refused", "host-0", 10_000);
    notices.recordBackoff("refused", "engine-0", 2_000, 10_000);
    notices.recordSignal("host-0", 10_100);
    for (String arrival : List.of("a", "b", "c")) {
      notices.recordSent(arrival, "host-0", 10_200);
      notices.recordArrival(arrival, "engine-0", 10_600);
    }
    assertEquals(List.of(), notices.violations());
  }
}
