// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** What reaches endpoints that said they leave or rest is seen, and nothing else is. */
class NoticeLedgerTest {
  private final NoticeLedger notices = new NoticeLedger();

  private void broken(String what) {
    assertEquals(1, notices.broken().size(), notices.broken().toString());
    assertTrue(notices.broken().get(0).contains(what), notices.broken().get(0));
  }

  /** A request of before, whose answer said that its endpoint leaves, and one sent later. */
  private void toldAndSentAgain(long sentMs) {
    notices.sent("told", "host-0", 10_000);
    notices.passedOn("told", "engine-0", 10_100);
    notices.sent("later", "host-0", sentMs);
  }

  @Test
  void aRequestThatReachesAnEndpointWhichSaidToItsHostThatItLeaves() {
    toldAndSentAgain(12_101);
    notices.arrived("later", "engine-0", 12_110);
    broken("later reached engine-0, sent 2001 ms after");
  }

  @Test
  void whatWasSentSoonAfterOrFromAnotherHostOrToItsNextStartIsFine() {
    toldAndSentAgain(12_100);
    notices.sent("other", "host-1", 13_000);
    notices.arrived("later", "engine-0", 14_000);
    notices.arrived("other", "engine-0", 14_000);
    notices.arrived("later", "engine-1", 14_000);
    notices.over("engine-0");
    notices.sent("last", "host-0", 15_000);
    notices.arrived("last", "engine-0", 15_001);
    assertEquals(List.of(), notices.broken());
  }

  private void restingAfter(String... arrivals) {
    notices.sent("refused", "host-0", 10_000);
    notices.askedForRest("refused", "engine-0", 2_000, 10_000);
    for (String arrival : arrivals) {
      notices.sent(arrival, "host-0", 10_000);
      notices.arrived(arrival, "engine-0", 10_600);
    }
  }

  @Test
  void aThirdRequestInARest() {
    restingAfter("a", "b", "c", "d");
    broken("c reached engine-0 in its rest");
  }

  @Test
  void whatIsOnTheWayOrComesAfterARestOrIsOneOfTwoIsFine() {
    restingAfter("a", "b");
    notices.arrived("a", "engine-0", 10_500);
    notices.arrived("b", "engine-0", 12_000);
    assertEquals(List.of(), notices.broken());
  }

  @Test
  void aHostThatGotASignalMayNotKnowOfARest() {
    notices.sent("refused", "host-0", 10_000);
    notices.askedForRest("refused", "engine-0", 2_000, 10_000);
    notices.troubled("host-0", 10_100);
    for (String arrival : List.of("a", "b", "c")) {
      notices.sent(arrival, "host-0", 10_200);
      notices.arrived(arrival, "engine-0", 10_600);
    }
    assertEquals(List.of(), notices.broken());
  }
}
