// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Verifies that more requests than an endpoint's rate allows are reported, and no others. */
class RateCheckerTest {
  private final RateChecker rates =
      new RateChecker(RateCheckerTest::hostOf, RateChecker.Bounds.NAMED);

  private static String hostOf(String id) {
    return id.substring(0, id.indexOf('/'));
  }

  /** An endpoint names 1 request a second at 10 s and tells two hosts soon after. */
  private void nameOneASecond() {
    rates.recordRate("engine-0", 1, 10_000);
    rates.recordPassedOn("host-0/told", "engine-0", 10_100);
    rates.recordPassedOn("host-1/told", "engine-0", 10_200);
  }

  private void arrive(String host, int count, long fromMs, long gapMs) {
    for (int i = 0; i < count; i++) {
      rates.recordArrival(host + "/" + i, "engine-0", fromMs + i * gapMs);
    }
  }

  private void assertViolation(String text) {
    assertEquals(1, rates.violations().size(), rates.violations().toString());
    assertTrue(rates.violations().get(0).contains(text), rates.violations().get(0));
  }

  @Test
  void twelveRequestsOfTwoHostsAreReported() {
    nameOneASecond();
    arrive("host-0", 6, 13_000, 10);
    arrive("host-1", 6, 13_100, 10);
    assertViolation("host-1/5 is one of 12 requests in 4 s at engine-0, which named 1.0 a second");
  }

  @Test
  void elevenAndOthersLaterAreAccepted() {
    nameOneASecond();
    arrive("host-0", 11, 13_000, 10);
    arrive("host-1", 11, 17_101, 10);
    assertEquals(List.of(), rates.violations());
  }

  @Test
  void anEndpointThatStartsIsJudgedEachSecond() {
    RateChecker starts = new RateChecker(RateCheckerTest::hostOf, RateChecker.Bounds.STARTING);
    starts.recordRate("engine-0", 2, 10_000);
    starts.recordPassedOn("host-0/told", "engine-0", 10_100);
    for (int i = 0; i < 9; i++) {
      starts.recordArrival("host-0/" + i, "engine-0", 10_700 + (i < 8 ? 0 : 1_000));
    }
    assertEquals(List.of(), starts.violations());
    for (int i = 0; i < 8; i++) {
      starts.recordArrival("host-0/b" + i, "engine-0", 12_000);
    }
    assertTrue(starts.violations().get(0).contains("9 requests in 1 s"));
  }

  @Test
  void hostsThatPassedOnNoAnswerDoNotCount() {
    nameOneASecond();
    arrive("host-0", 11, 13_000, 10);
    arrive("host-2", 20, 13_100, 10);
    assertEquals(List.of(), rates.violations());
  }

  @Test
  void restartedOrSuspendedHostsCountAfterTheNextAnswer() {
    nameOneASecond();
    rates.recordSignal("host-0", 12_000);
    arrive("host-0", 20, 13_100, 10);
    assertEquals(List.of(), rates.violations());
    rates.recordPassedOn("host-0/again", "engine-0", 13_500);
    arrive("host-0", 12, 14_000, 10);
    assertViolation("12 requests");
  }

  @Test
  void theFirstSecondsAndImpairedLinksAreExcused() {
    nameOneASecond();
    arrive("host-0", 20, 10_700, 10);
    assertEquals(List.of(), rates.violations());
    rates.recordImpaired("engine-0");
    arrive("host-0", 20, 16_000, 10);
    rates.recordSound("engine-0", 17_000);
    arrive("host-0", 20, 17_500, 10);
    assertEquals(List.of(), rates.violations());
    arrive("host-0", 12, 18_000, 10);
    assertViolation("12 requests");
  }

  @Test
  void theHigherOfTwoRatesCountsUntilAllKnowTheLower() {
    nameOneASecond();
    rates.recordRate("engine-0", 10, 20_000);
    arrive("host-0", 65, 24_000, 10);
    rates.recordRate("engine-0", 1, 30_000);
    arrive("host-0", 65, 33_000, 10);
    assertEquals(List.of(), rates.violations());
    arrive("host-0", 12, 40_000, 10);
    assertViolation("12 requests");
  }

  @Test
  void anEndpointThatNamesNoRateOrRestartsIsNotJudged() {
    nameOneASecond();
    rates.recordNoRate("engine-0");
    arrive("host-0", 50, 14_000, 10);
    assertEquals(List.of(), rates.violations());
  }
}
