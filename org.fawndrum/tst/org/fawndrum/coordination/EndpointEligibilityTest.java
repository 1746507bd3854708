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

  private static boolean isEligible(EndpointEligibility eligibility, HostIdentity identity) {
    return eligibility.eligible().stream().anyMatch(entry -> entry.identity().equals(identity));
  }

  @Property(tries = 2_000, seed = "31")
  void onceReportedDrainingNeverEligibleAgain(@ForAll long seed) {
    Random random = new Random(seed);
    EndpointEligibility eligibility = new EndpointEligibility();
    Map<String, Long> newest = new HashMap<>(Map.of("a", 1L, "b", 1L, "c", 1L));
    Set<HostIdentity> reported = new HashSet<>();
    for (int step = 0; step < 60; step++) {
      String name = List.of("a", "b", "c").get(random.nextInt(3));
      HostIdentity identity = new HostIdentity(name, newest.get(name));
      switch (random.nextInt(5)) {
        case 0 -> newest.merge(name, 1L, Long::sum);
        case 1 -> {
          eligibility.markDraining(identity);
          reported.add(identity);
        }
        case 2 -> eligibility.incarnationAnswered(identity);
        default -> {
          // A lagging list names incarnations that may be superseded; old versions may arrive late.
          List<Endpoint> listed =
              newest.entrySet().stream()
                  .map(
                      entry ->
                          endpoint(
                              entry.getKey(), Math.max(1, entry.getValue() - random.nextInt(2))))
                  .toList();
          eligibility.updateListing(listing(random.nextInt(60), listed));
        }
      }
      reported.forEach(
          draining ->
              assertFalse(isEligible(eligibility, draining), draining + " is eligible again"));
    }
  }

  @Test
  void olderListDoesNotReplaceANewerOne() {
    EndpointEligibility eligibility = new EndpointEligibility();
    Endpoint a = endpoint("a", 1);
    assertTrue(eligibility.updateListing(listing(5, List.of(a), a.identity())));
    assertFalse(eligibility.updateListing(listing(4, List.of(a))));
    assertEquals(List.of(), eligibility.eligible());
  }

  @Test
  void restartedEndpointIsEligibleBeforeTheListIsUpdated() {
    EndpointEligibility eligibility = new EndpointEligibility();
    Endpoint a = endpoint("a", 1);
    eligibility.updateListing(listing(1, List.of(a), a.identity()));
    eligibility.incarnationAnswered(new HostIdentity("a", 2));
    assertTrue(isEligible(eligibility, new HostIdentity("a", 2)));
    assertFalse(isEligible(eligibility, a.identity()));
  }

  /** The answer may have come from the later incarnation, which was not known yet. */
  @Test
  void incarnationDiscoveredAfterADrainingAnswerIsProbedBeforeUse() {
    EndpointEligibility eligibility = new EndpointEligibility();
    Endpoint earlier = endpoint("a", 1);
    Endpoint later = endpoint("a", 2);
    eligibility.updateListing(listing(1, List.of(earlier)));
    assertTrue(eligibility.markDrainingFromAnswer(earlier.identity()));
    eligibility.updateListing(listing(2, List.of(later)));
    assertFalse(isEligible(eligibility, later.identity()));
    assertEquals(List.of(later), eligibility.takeUnverified());
    assertEquals(List.of(), eligibility.takeUnverified(), "returned twice");
    assertTrue(eligibility.markVerified(later.identity()));
    assertTrue(isEligible(eligibility, later.identity()));
  }

  @Test
  void incarnationThatAnswersDrainingToTheProbeIsNotEligible() {
    EndpointEligibility eligibility = new EndpointEligibility();
    Endpoint later = endpoint("a", 2);
    eligibility.updateListing(listing(1, List.of(endpoint("a", 1))));
    eligibility.markDrainingFromAnswer(new HostIdentity("a", 1));
    eligibility.updateListing(listing(2, List.of(later)));
    eligibility.markDrainingFromAnswer(later.identity());
    eligibility.markVerified(later.identity());
    assertFalse(isEligible(eligibility, later.identity()));
  }

  @Test
  void incarnationAfterAListedDrainingOneNeedsNoProbe() {
    EndpointEligibility eligibility = new EndpointEligibility();
    Endpoint earlier = endpoint("a", 1);
    eligibility.updateListing(listing(1, List.of(earlier)));
    eligibility.markDrainingFromAnswer(earlier.identity());
    eligibility.updateListing(listing(2, List.of(earlier), earlier.identity()));
    eligibility.updateListing(listing(3, List.of(endpoint("a", 2))));
    assertTrue(isEligible(eligibility, new HostIdentity("a", 2)));
    assertEquals(List.of(), eligibility.takeUnverified());
  }

  @Test
  void oldUnlistedDrainingIncarnationsAreDroppedListedOnesAreNot() {
    EndpointEligibility eligibility = new EndpointEligibility();
    Endpoint listed = endpoint("listed", 1);
    eligibility.updateListing(listing(1, List.of(listed)));
    eligibility.markDraining(listed.identity());
    for (int i = 0; i < 5_000; i++) {
      eligibility.markDraining(new HostIdentity("gone-" + i, 1));
    }
    eligibility.updateListing(listing(2, List.of(listed)));
    assertFalse(isEligible(eligibility, listed.identity()));
    assertEquals(1, eligibility.listedDrainingCount());
    assertTrue(eligibility.draining().size() < 1_100, "kept: " + eligibility.draining().size());
    assertTrue(
        eligibility.draining().contains(new HostIdentity("gone-4999", 1)), "the latest reported");
  }
}
