// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.fawndrum.coordination.limit.PermitIssuer.Issued;
import org.fawndrum.coordination.membership.FleetMember;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.junit.jupiter.api.Test;

/** Verifies who gets the permits for an endpoint that accepts two requests a second, and when. */
class PermitIssuerTest {
  private static final String ENDPOINT = "e-1";
  private static final double RATE = 2;

  private final PermitIssuer issuer = new PermitIssuer();
  private long lastId;

  private static FleetMember host(String name) {
    return new FleetMember(new HostIdentity(name, 1), new HostAddress(name, 1), "zone-a", 1);
  }

  private List<Issued> demand(String host, int permits, boolean urgent, int urgency, long nowMs) {
    PermitDemand demand = new PermitDemand(ENDPOINT, ++lastId, permits, urgent, urgency);
    return issuer.demanded(host(host), demand, nowMs);
  }

  private static int permits(List<Issued> issued) {
    return issued.stream().mapToInt(each -> each.grant().permits()).sum();
  }

  /** Issues for a time in steps of 10 ms; returns the permits of each host. */
  private Map<String, Integer> issue(long fromMs, long toMs) {
    List<Issued> issued = new ArrayList<>();
    for (long nowMs = fromMs; nowMs <= toMs; nowMs += 10) {
      issued.addAll(issuer.issueDue(nowMs));
    }
    return issued.stream()
        .collect(
            Collectors.toMap(
                each -> each.to().identity().host(), each -> each.grant().permits(), Integer::sum));
  }

  @Test
  void beginsWithoutPermitsAndSaysWhenTheFirstComes() {
    assertTrue(issuer.setRate(ENDPOINT, RATE, 0));
    List<Issued> issued = demand("host-1", 1, true, 0, 0);
    assertEquals(0, permits(issued));
    assertEquals(500, issued.get(0).grant().firstMs());
    assertEquals(500, issuer.nextDueMs(0));
    assertEquals(Map.of(), issue(10, 490));
    assertEquals(Map.of("host-1", 1), issue(500, 500));
  }

  @Test
  void keepsNoMorePermitsThanHalfASecondOfTheRateAndOne() {
    issuer.setRate(ENDPOINT, RATE, 0);
    assertEquals(2, permits(demand("host-1", 10, true, 0, 60_000)));
  }

  @Test
  void hostsGetPermitsInTurn() {
    issuer.setRate(ENDPOINT, RATE, 0);
    for (long nowMs = 0; nowMs < 10_000; nowMs += 1_000) {
      demand("host-1", 100, true, 0, nowMs);
      demand("host-2", 100, true, 0, nowMs);
      issue(nowMs + 10, nowMs + 990);
    }
    Map<String, Integer> last = issue(10_000, 11_000);
    assertEquals(last.get("host-1"), last.get("host-2"));
  }

  @Test
  void moreUrgentRequestsComeFirst() {
    issuer.setRate(ENDPOINT, RATE, 0);
    demand("host-1", 1, true, 5, 0);
    demand("host-2", 1, true, 0, 10);
    assertEquals(Map.of("host-2", 1), issue(20, 500));
  }

  @Test
  void hostsWithAnotherChoiceGetOnlyWhatWouldBeLost() {
    issuer.setRate(ENDPOINT, RATE, 0);
    assertEquals(0, permits(demand("host-1", 1, false, 0, 900)), "one permit is kept");
    assertEquals(1, permits(demand("host-1", 2, false, 0, 1_000)), "as many as are kept");
    assertEquals(1, permits(demand("host-2", 1, true, 0, 1_010)));
  }

  @Test
  void aWithdrawnOrOldDemandGetsNothing() {
    issuer.setRate(ENDPOINT, RATE, 0);
    demand("host-1", 1, true, 0, 0);
    demand("host-1", 0, false, 0, 10);
    assertEquals(Map.of(), issue(20, 600));
    PermitIssuer late = new PermitIssuer();
    late.setRate(ENDPOINT, 0.2, 0);
    late.demanded(host("host-1"), new PermitDemand(ENDPOINT, 1, 1, true, 0), 0);
    assertEquals(List.of(), late.issueDue(6_000));
  }

  @Test
  void expectationsCountTheHostsBefore() {
    issuer.setRate(ENDPOINT, RATE, 0);
    demand("host-1", 5, true, 0, 0);
    PermitGrant second = demand("host-2", 5, true, 0, 0).get(0).grant();
    assertEquals(1_000, second.firstMs());
    assertEquals(1_000, second.gapMs());
  }

  @Test
  void expectationsCountOnlyWhatComesFirst() {
    issuer.setRate(ENDPOINT, RATE, 0);
    demand("host-1", 4, true, 0, 0);
    demand("host-2", 1, false, 0, 0);
    PermitGrant lessUrgent = demand("host-3", 1, true, 5, 0).get(0).grant();
    assertEquals(500 + 4 * 500, lessUrgent.firstMs());
    assertEquals(500, lessUrgent.gapMs());
  }

  @Test
  void whoIssuesNoneSaysSo() {
    assertFalse(demand("host-1", 1, true, 0, 0).get(0).grant().isIssued());
    issuer.setRate(ENDPOINT, RATE, 0);
    assertTrue(issuer.setRate(ENDPOINT, 0, 100), "it ended to issue");
    assertFalse(demand("host-1", 1, true, 0, 200).get(0).grant().isIssued());
  }

  /** A start lasts three seconds, and a host that was refused asks again after one. */
  @Test
  void aDemandBeforeThisHostKnowsOfTheRateIsMetSoon() {
    assertFalse(demand("host-1", 2, true, 0, 0).get(0).grant().isIssued());
    demand("host-2", 1, true, 0, 0);
    demand("host-2", 0, false, 0, 100);
    assertEquals(450, issuer.nextDueMs(400));
    issuer.setRate(ENDPOINT, RATE, 400);
    assertEquals(Map.of("host-1", 1), issue(400, 900));
    assertEquals(Map.of("host-1", 1), issue(910, 1_400));
  }

  @Test
  void earlyDemandsAreForgottenLikeOthers() {
    demand("host-1", 2, true, 0, 0);
    issue(0, 2_000);
    assertEquals(Long.MAX_VALUE, issuer.nextDueMs(2_000));
    issuer.setRate(ENDPOINT, RATE, 2_000);
    assertEquals(Map.of(), issue(2_000, 5_000));
  }

  @Test
  void beginsWithoutPermitsAgainAfterAnotherHostIssued() {
    issuer.setRate(ENDPOINT, RATE, 0);
    issuer.setRate(ENDPOINT, 0, 10_000);
    issuer.setRate(ENDPOINT, RATE, 20_000);
    assertEquals(0, permits(demand("host-1", 1, true, 0, 20_000)));
  }

  @Test
  void aChangedRateKeepsThePermitsUpToTheNewMaximum() {
    issuer.setRate(ENDPOINT, 100, 0);
    issuer.setRate(ENDPOINT, RATE, 10_000);
    assertEquals(2, permits(demand("host-1", 50, true, 0, 10_000)));
  }

  /**
   * Hosts that get on without an endpoint demand permits for it all the same; then a burst of
   * requests uses the permits that hosts have, those that are kept and the new ones. Permits issued
   * half a second apart may be used at once.
   */
  @Test
  void aBurstAfterACalmTimeStaysWithinTheRateOfAnEndpointThatStarts() {
    double rate = 17;
    int allowedASecond = (int) (rate * 1.5) + 5;
    issuer.setRate(ENDPOINT, rate, 1, 0);
    List<Long> issuedMs = new ArrayList<>();
    for (long nowMs = 0; nowMs < 5_000; nowMs += 10) {
      int permits = permits(issuer.issueDue(nowMs));
      if (nowMs % 250 == 0) {
        permits += permits(demand("host-1", 512, nowMs >= 3_000, 0, nowMs));
      }
      issuedMs.addAll(Collections.nCopies(permits, nowMs));
    }
    assertTrue(issuedMs.size() > 0.9 * rate * 4, "the rate is not used: " + issuedMs.size());
    for (long fromMs = 0; fromMs < 3_500; fromMs += 10) {
      long endMs = fromMs + 1_000 + EndpointPermits.VALID_MS;
      long start = fromMs;
      long used = issuedMs.stream().filter(atMs -> atMs >= start && atMs < endMs).count();
      assertTrue(used <= allowedASecond, used + " from " + fromMs + " ms");
    }
  }
}
