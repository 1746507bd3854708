// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.EndpointKind;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.HostListing;
import org.junit.jupiter.api.Test;

/**
 * A draining endpoint receives no new work, whoever reports it first and however old the list is.
 */
class EndpointEligibilityTest {
  private static Endpoint endpoint(String name, long incarnation) {
    return new Endpoint(
        new HostIdentity(name, incarnation),
        "z",
        EndpointKind.MODEL,
        new HostAddress("127.0.0.1", 1),
        Set.of("m"),
        1);
  }

  private static HostListing listing(
      long version, List<Endpoint> endpoints, HostIdentity... draining) {
    return new HostListing(version, endpoints, Set.of(draining), List.of());
  }

  private static boolean isEligible(EndpointRoster eligibility, HostIdentity identity) {
    return eligibility.open().stream().anyMatch(entry -> entry.identity().equals(identity));
  }

  @Property(tries = 2_000, seed = "31")
  void onceReportedDrainingNeverEligibleAgain(@ForAll long seed) {
    Random random = new Random(seed);
    EndpointRoster eligibility = new EndpointRoster();
    Map<String, Long> newest = new HashMap<>(Map.of("a", 1L, "b", 1L, "c", 1L));
    Set<HostIdentity> reported = new HashSet<>();
    for (int step = 0; step < 60; step++) {
      String name = List.of("a", "b", "c").get(random.nextInt(3));
      HostIdentity identity = new HostIdentity(name, newest.get(name));
      switch (random.nextInt(5)) {
        case 0 -> newest.merge(name, 1L, Long::sum);
        case 1 -> {
          eligibility.saidLeaving(identity);
          reported.add(identity);
        }
        case 2 -> eligibility.answered(identity);
        default -> {
          // A lagging list names incarnations that may be superseded; old versions may arrive late.
          List<Endpoint> listed =
              newest.entrySet().stream()
                  .map(
                      entry ->
                          endpoint(
                              entry.getKey(), Math.max(1, entry.getValue() - random.nextInt(2))))
                  .toList();
          eligibility.listed(listing(random.nextInt(60), listed));
        }
      }
      reported.forEach(
          draining ->
              assertFalse(isEligible(eligibility, draining), draining + " is eligible again"));
    }
  }

  @Test
  void olderListDoesNotReplaceANewerOne() {
    EndpointRoster eligibility = new EndpointRoster();
    Endpoint a = endpoint("a", 1);
    assertTrue(eligibility.listed(listing(5, List.of(a), a.identity())));
    assertFalse(eligibility.listed(listing(4, List.of(a))));
    assertEquals(List.of(), eligibility.open());
  }

  @Test
  void restartedEndpointIsEligibleBeforeTheListIsUpdated() {
    EndpointRoster eligibility = new EndpointRoster();
    Endpoint a = endpoint("a", 1);
    eligibility.listed(listing(1, List.of(a), a.identity()));
    eligibility.answered(new HostIdentity("a", 2));
    assertTrue(isEligible(eligibility, new HostIdentity("a", 2)));
    assertFalse(isEligible(eligibility, a.identity()));
  }

  /** The answer may have come from the later incarnation, which was not known yet. */
  @Test
  void incarnationDiscoveredAfterADrainingAnswerIsProbedBeforeUse() {
    EndpointRoster eligibility = new EndpointRoster();
    Endpoint earlier = endpoint("a", 1);
    Endpoint later = endpoint("a", 2);
    eligibility.listed(listing(1, List.of(earlier)));
    assertTrue(eligibility.saidLeavingInAnswer(earlier.identity()));
    eligibility.listed(listing(2, List.of(later)));
    assertFalse(isEligible(eligibility, later.identity()));
    assertEquals(List.of(later), eligibility.takeUnclear());
    assertEquals(List.of(), eligibility.takeUnclear(), "returned twice");
    assertTrue(eligibility.asked(later.identity()));
    assertTrue(isEligible(eligibility, later.identity()));
  }

  @Test
  void incarnationThatAnswersDrainingToTheProbeIsNotEligible() {
    EndpointRoster eligibility = new EndpointRoster();
    Endpoint later = endpoint("a", 2);
    eligibility.listed(listing(1, List.of(endpoint("a", 1))));
    eligibility.saidLeavingInAnswer(new HostIdentity("a", 1));
    eligibility.listed(listing(2, List.of(later)));
    eligibility.saidLeavingInAnswer(later.identity());
    eligibility.asked(later.identity());
    assertFalse(isEligible(eligibility, later.identity()));
  }

  @Test
  void incarnationAfterAListedDrainingOneNeedsNoProbe() {
    EndpointRoster eligibility = new EndpointRoster();
    Endpoint earlier = endpoint("a", 1);
    eligibility.listed(listing(1, List.of(earlier)));
    eligibility.saidLeavingInAnswer(earlier.identity());
    eligibility.listed(listing(2, List.of(earlier), earlier.identity()));
    eligibility.listed(listing(3, List.of(endpoint("a", 2))));
    assertTrue(isEligible(eligibility, new HostIdentity("a", 2)));
    assertEquals(List.of(), eligibility.takeUnclear());
  }

  @Test
  void oldUnlistedDrainingIncarnationsAreDroppedListedOnesAreNot() {
    EndpointRoster eligibility = new EndpointRoster();
    Endpoint listed = endpoint("listed", 1);
    eligibility.listed(listing(1, List.of(listed)));
    eligibility.saidLeaving(listed.identity());
    for (int i = 0; i < 5_000; i++) {
      eligibility.saidLeaving(new HostIdentity("gone-" + i, 1));
    }
    eligibility.listed(listing(2, List.of(listed)));
    assertFalse(isEligible(eligibility, listed.identity()));
    assertEquals(1, eligibility.listedLeaving());
    assertTrue(eligibility.leaving().size() < 1_100, "kept: " + eligibility.leaving().size());
    assertTrue(
        eligibility.leaving().contains(new HostIdentity("gone-4999", 1)), "the latest reported");
  }
}
