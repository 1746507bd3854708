// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.link;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A host takes the loss of its own links for what it is, and notices when they are back. */
class EndpointLinksTest {
  private static final Set<String> ENDPOINTS = Set.of("e-1", "e-2", "e-3");

  private final EndpointLinks links = new EndpointLinks();
  private long nowMs = 10_000;

  @BeforeEach
  void listEndpoints() {
    links.retain(ENDPOINTS);
  }

  private static Set<String> sorted(List<String> endpoints) {
    return new TreeSet<>(endpoints);
  }

  /** Data of one endpoint shows that the host is not cut off as a whole. */
  @Test
  void allLinksAreCheckedForOneFailureOnlyIfNothingArrives() {
    links.heard("e-1", nowMs);
    links.connectFailed("e-2");
    assertEquals(List.of(), links.takeSweep(false, nowMs + 100));
    assertEquals(ENDPOINTS, sorted(links.takeSweep(false, nowMs + 300)));
  }

  /** Once a link is known to be lost, all endpoints that are silent are suspected. */
  @Test
  void silentEndpointsAreCheckedWhenOneLinkIsLost() {
    links.heard("e-1", nowMs);
    links.lost("e-2", nowMs);
    assertEquals(List.of("e-3"), links.takeSweep(true, nowMs + 100));
  }

  /** Many requests fail at once; each of them must not check all links. */
  @Test
  void checksOfAllLinksAreLimited() {
    assertEquals(ENDPOINTS, sorted(links.takeSweep(false, nowMs)));
    assertEquals(List.of(), links.takeSweep(true, nowMs + 499));
    assertEquals(ENDPOINTS, sorted(links.takeSweep(true, nowMs + 500)));
  }

  @Test
  void aLostLinkIsIntactAgainOnceTheHostCanConnect() {
    assertTrue(links.lost("e-1", nowMs));
    assertFalse(links.lost("e-1", nowMs + 10), "known before");
    assertEquals(List.of(), links.takeRechecks(nowMs + 499));
    assertEquals(List.of("e-1"), links.takeRechecks(nowMs + 500));
    assertEquals(List.of(), links.takeRechecks(nowMs + 600), "checked just before");
    assertEquals(OptionalLong.of(700), links.connected("e-1", nowMs + 700));
    assertFalse(links.isLost("e-1"));
    assertEquals(OptionalLong.empty(), links.connected("e-1", nowMs + 800));
  }

  /** Connections from before a loss may hang for good, so that they must be told apart. */
  @Test
  void eachLossIsCounted() {
    links.lost("e-1", nowMs);
    links.connected("e-1", nowMs + 1);
    links.lost("e-1", nowMs + 2);
    assertEquals(2, links.losses("e-1"));
    assertEquals(0, links.losses("e-2"));
  }

  /** An endpoint that no host reaches has failed itself; its link must not count as lost. */
  @Test
  void anEndpointThatOthersDoNotReachEitherHasFailed() {
    links.lost("e-1", nowMs);
    links.endpointUnreached("e-1", nowMs);
    assertFalse(links.isLost("e-1"));
    assertFalse(links.mayAskOthers("e-1", nowMs + 999));
    assertTrue(links.mayAskOthers("e-1", nowMs + 1_000));
  }

  /** One with a thousand endpoints must not connect to all of them ten times a second. */
  @Test
  void fewLostLinksAreCheckedAtATimeAndEachInTurn() {
    Set<String> many = new TreeSet<>();
    for (int i = 0; i < 1_000; i++) {
      many.add("e-" + i);
    }
    links.retain(many);
    many.forEach(endpoint -> links.lost(endpoint, nowMs));
    Set<String> checked = new TreeSet<>();
    for (int round = 0; round < 125; round++) {
      List<String> due = links.takeRechecks(nowMs + 500 + 100 * round);
      assertTrue(due.size() <= 8, due.size() + " checks at a time");
      checked.addAll(due);
    }
    assertEquals(many, checked);
  }

  @Test
  void theSilenceOfOneEndpointIsCheckedOnceASecond() {
    links.heard("e-1", nowMs);
    assertFalse(links.takeSilenceCheck("e-1", 700, nowMs + 699));
    assertTrue(links.takeSilenceCheck("e-1", 700, nowMs + 700));
    assertFalse(links.takeSilenceCheck("e-1", 700, nowMs + 1_699));
    assertTrue(links.takeSilenceCheck("e-1", 700, nowMs + 1_700));
  }

  @Test
  void endpointsThatAreNotListedAreForgotten() {
    links.lost("e-1", nowMs);
    links.retain(Set.of("e-2"));
    assertEquals(0, links.lostCount());
    assertFalse(links.isLost("e-1"));
  }

  /**
   * Each link that is intact again has the others checked; together these were n squared checks.
   */
  @Test
  void linksAreCheckedOnceWhenManyAreIntactAgain() {
    ENDPOINTS.forEach(endpoint -> links.lost(endpoint, nowMs));
    links.connected("e-1", nowMs + 500);
    assertEquals(Set.of("e-2", "e-3"), sorted(links.takeAllLost(nowMs + 500)));
    links.connected("e-2", nowMs + 502);
    assertEquals(List.of(), links.takeAllLost(nowMs + 502));
    assertEquals(List.of("e-3"), links.takeAllLost(nowMs + 700));
  }
}
