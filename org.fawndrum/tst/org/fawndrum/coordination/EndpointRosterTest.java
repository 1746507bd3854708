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

/** An endpoint that is leaving gets no new work, whoever says so first and however old the list. */
class EndpointRosterTest {
  private static Endpoint endpoint(String name, long incarnation) {
    return new Endpoint(
        new HostIdentity(name, incarnation),
        "z",
        EndpointKind.MODEL,
        new HostAddress("127.0.0.1", 1),
        Set.of("m"),
        1);
  }

  private static HostListing listing(long version, List<Endpoint> endpoints, HostIdentity... gone) {
    return new HostListing(version, endpoints, Set.of(gone), List.of());
  }

  private static boolean open(EndpointRoster roster, HostIdentity identity) {
    return roster.open().stream().anyMatch(one -> one.identity().equals(identity));
  }

  @Property(tries = 2_000, seed = "31")
  void onceSaidLeavingNeverOpenAgain(@ForAll long seed) {
    Random random = new Random(seed);
    EndpointRoster roster = new EndpointRoster();
    Map<String, Long> newest = new HashMap<>(Map.of("a", 1L, "b", 1L, "c", 1L));
    Set<HostIdentity> said = new HashSet<>();
    for (int step = 0; step < 60; step++) {
      String name = List.of("a", "b", "c").get(random.nextInt(3));
      HostIdentity identity = new HostIdentity(name, newest.get(name));
      switch (random.nextInt(5)) {
        case 0 -> newest.merge(name, 1L, Long::sum);
        case 1 -> {
          roster.saidLeaving(identity);
          said.add(identity);
        }
        case 2 -> roster.answered(identity);
        default -> {
          // A list that lags: it names lives that may be over, and an old version may come late.
          List<Endpoint> listed =
              newest.entrySet().stream()
                  .map(
                      one ->
                          endpoint(one.getKey(), Math.max(1, one.getValue() - random.nextInt(2))))
                  .toList();
          roster.listed(listing(random.nextInt(60), listed));
        }
      }
      said.forEach(gone -> assertFalse(open(roster, gone), gone + " is open again"));
    }
  }

  @Test
  void olderListIsNotTakenOverANewerOne() {
    EndpointRoster roster = new EndpointRoster();
    Endpoint a = endpoint("a", 1);
    assertTrue(roster.listed(listing(5, List.of(a), a.identity())));
    assertFalse(roster.listed(listing(4, List.of(a))));
    assertEquals(List.of(), roster.open());
  }

  @Test
  void restartedEndpointComesBackBeforeTheListKnows() {
    EndpointRoster roster = new EndpointRoster();
    Endpoint a = endpoint("a", 1);
    roster.listed(listing(1, List.of(a), a.identity()));
    roster.answered(new HostIdentity("a", 2));
    assertTrue(open(roster, new HostIdentity("a", 2)));
    assertFalse(open(roster, a.identity()));
  }

  /** The answer may have been the later start's, of which nobody knew yet. */
  @Test
  void aStartThatBecomesKnownAfterAnAnswerThatSaidLeavingIsAskedBeforeItIsUsed() {
    EndpointRoster roster = new EndpointRoster();
    Endpoint before = endpoint("a", 1);
    Endpoint after = endpoint("a", 2);
    roster.listed(listing(1, List.of(before)));
    assertTrue(roster.saidLeavingInAnswer(before.identity()));
    roster.listed(listing(2, List.of(after)));
    assertFalse(open(roster, after.identity()));
    assertEquals(List.of(after), roster.takeUnclear());
    assertEquals(List.of(), roster.takeUnclear(), "asked twice");
    assertTrue(roster.asked(after.identity()));
    assertTrue(open(roster, after.identity()));
  }

  @Test
  void aStartThatLeavesWhenItIsAskedStaysOut() {
    EndpointRoster roster = new EndpointRoster();
    Endpoint after = endpoint("a", 2);
    roster.listed(listing(1, List.of(endpoint("a", 1))));
    roster.saidLeavingInAnswer(new HostIdentity("a", 1));
    roster.listed(listing(2, List.of(after)));
    roster.saidLeavingInAnswer(after.identity());
    roster.asked(after.identity());
    assertFalse(open(roster, after.identity()));
  }

  @Test
  void aStartAfterOneWhoseEntrySaidLeavingNeedsNoQuestion() {
    EndpointRoster roster = new EndpointRoster();
    Endpoint before = endpoint("a", 1);
    roster.listed(listing(1, List.of(before)));
    roster.saidLeavingInAnswer(before.identity());
    roster.listed(listing(2, List.of(before), before.identity()));
    roster.listed(listing(3, List.of(endpoint("a", 2))));
    assertTrue(open(roster, new HostIdentity("a", 2)));
    assertEquals(List.of(), roster.takeUnclear());
  }

  @Test
  void whatLeftLongAgoIsForgottenAndWhatIsListedNever() {
    EndpointRoster roster = new EndpointRoster();
    Endpoint listed = endpoint("listed", 1);
    roster.listed(listing(1, List.of(listed)));
    roster.saidLeaving(listed.identity());
    for (int i = 0; i < 5_000; i++) {
      roster.saidLeaving(new HostIdentity("gone-" + i, 1));
    }
    roster.listed(listing(2, List.of(listed)));
    assertFalse(open(roster, listed.identity()));
    assertEquals(1, roster.listedLeaving());
    assertTrue(roster.leaving().size() < 1_100, "kept: " + roster.leaving().size());
    assertTrue(roster.leaving().contains(new HostIdentity("gone-4999", 1)), "the last to leave");
  }
}
