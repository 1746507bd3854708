// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.link;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fawndrum.coordination.membership.FleetMember;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.junit.jupiter.api.Test;

/** Which host proxies a request for another one, and how the work is spread. */
class ProxySelectorTest {
  private static final int PORT = 7_355;
  private static final long NOW_MS = 10_000;

  private final ProxySelector selector = new ProxySelector("a-0", "zone-a");

  private static FleetMember member(String host, String zone, int proxyPort) {
    HostIdentity identity = new HostIdentity(host, 1);
    return new FleetMember(identity, new HostAddress(host, 1), zone, 1, true, proxyPort);
  }

  private Optional<String> take(List<FleetMember> live, Set<HostIdentity> asked, long nowMs) {
    return selector.take(live, asked, nowMs).map(member -> member.identity().host());
  }

  /** Bytes between zones cost, and so does their delay. */
  @Test
  void aHostOfTheOwnZoneComesFirst() {
    List<FleetMember> live = List.of(member("b-1", "zone-b", PORT), member("a-1", "zone-a", PORT));
    assertEquals(Optional.of("a-1"), take(live, Set.of(), NOW_MS));
    assertEquals(Optional.of("b-1"), take(live, Set.of(), NOW_MS));
  }

  /** An older build knows no such requests, and one that shuts down would cut them off. */
  @Test
  void hostsThatProxyNothingAreNotAsked() {
    FleetMember stopping = member("a-1", "zone-a", PORT).stopping();
    List<FleetMember> live = List.of(stopping, member("a-2", "zone-a", FleetMember.NO_PROXY));
    assertEquals(Optional.empty(), take(live, Set.of(), NOW_MS));
  }

  /** A host that has lost its links too, or is paused, costs each request a try. */
  @Test
  void aHostThatCouldNotHelpIsPassedOverForATime() {
    List<FleetMember> live = List.of(member("a-1", "zone-a", PORT), member("b-1", "zone-b", PORT));
    selector.failed(new HostIdentity("a-1", 1), true, NOW_MS);
    assertEquals(Optional.of("b-1"), take(live, Set.of(), NOW_MS + 999));
    selector.released(new HostIdentity("b-1", 1));
    assertEquals(Optional.of("a-1"), take(live, Set.of(), NOW_MS + 1_000));
  }

  /**
   * In soak seed 90301, the only host with links had been too busy to answer once, and for a second
   * nobody asked it: three hosts without links refused up to 23 requests a second.
   */
  @Test
  void ifAllAreBeingPassedOverTheFirstThatMayHelpAgainIsAsked() {
    List<FleetMember> live = List.of(member("a-1", "zone-a", PORT), member("b-1", "zone-b", PORT));
    selector.failed(new HostIdentity("a-1", 1), true, NOW_MS);
    selector.failed(new HostIdentity("b-1", 1), false, NOW_MS);
    assertEquals(Optional.of("b-1"), take(live, Set.of(), NOW_MS + 1));
    Set<HostIdentity> asked = Set.of(new HostIdentity("b-1", 1));
    assertEquals(Optional.empty(), take(live, asked, NOW_MS + 2), "no request tries all again");
  }

  /**
   * In soak seed 96001 a host was suspended just after its start: until it was suspected, others
   * without links asked it again and again, and lost the permits of the requests meanwhile.
   */
  @Test
  void aHostThatSaysNothingAgainIsPassedOverForLonger() {
    List<FleetMember> live = List.of(member("a-1", "zone-a", PORT), member("b-1", "zone-b", PORT));
    HostIdentity silent = new HostIdentity("a-1", 1);
    selector.failed(silent, false, NOW_MS);
    selector.failed(silent, false, NOW_MS + 600);
    assertEquals(Optional.of("b-1"), take(live, Set.of(), NOW_MS + 600 + 399));
    selector.released(new HostIdentity("b-1", 1));
    assertEquals(Optional.of("a-1"), take(live, Set.of(), NOW_MS + 600 + 400));
  }

  /**
   * A host that said nothing may only be busy; one that said that it has no links either has none.
   * Guards against the failure of soak seed 90301 above where a busy host says nothing thrice.
   */
  @Test
  void ifAllAreBeingPassedOverOneThatSaidNothingIsAskedFirst() {
    List<FleetMember> live = List.of(member("a-1", "zone-a", PORT), member("b-1", "zone-b", PORT));
    for (int i = 0; i < 3; i++) {
      selector.failed(new HostIdentity("b-1", 1), false, NOW_MS + 300);
    }
    selector.failed(new HostIdentity("a-1", 1), true, NOW_MS);
    assertEquals(Optional.of("b-1"), take(live, Set.of(), NOW_MS + 301));
  }

  /** Every request that is asked of a suspended host loses the time that it waits for it. */
  @Test
  void aHostThatWasSilentIsTriedByOneRequestAtATime() {
    List<FleetMember> live = List.of(member("a-1", "zone-a", PORT), member("b-1", "zone-b", PORT));
    selector.failed(new HostIdentity("a-1", 1), false, NOW_MS);
    long laterMs = NOW_MS + 1_000;
    assertEquals(Optional.of("a-1"), take(live, Set.of(), laterMs));
    assertEquals(Optional.of("b-1"), take(live, Set.of(), laterMs));
    assertEquals(Optional.of("b-1"), take(live, Set.of(), laterMs));
  }

  /** The same host would fail the same request again. */
  @Test
  void noHostIsAskedTwiceForARequest() {
    List<FleetMember> live = List.of(member("a-1", "zone-a", PORT));
    assertEquals(Optional.empty(), take(live, Set.of(new HostIdentity("a-1", 1)), NOW_MS));
  }

  /** When a zone is cut off, the hosts of the others must share its work evenly. */
  @Test
  void aZoneWithoutLinksSpreadsItsRequestsOverAllOthers() {
    for (int hosts : new int[] {6, 82, 370}) {
      List<FleetMember> live = new ArrayList<>();
      List<ProxySelector> cut = new ArrayList<>();
      for (int i = 0; i < hosts; i++) {
        if (i % 3 == 0) {
          cut.add(new ProxySelector("h-" + i, "zone-0"));
        } else {
          live.add(member("h-" + i, "zone-" + i % 3, PORT));
        }
      }
      int each = 12;
      Map<String, Integer> carried = new HashMap<>();
      for (ProxySelector asking : cut) {
        for (int i = 0; i < each; i++) {
          FleetMember chosen = asking.take(live, Set.of(), NOW_MS).orElseThrow();
          carried.merge(chosen.identity().host(), 1, Integer::sum);
        }
      }
      assertEquals(cut.size() * each, carried.values().stream().mapToInt(n -> n).sum());
      int most = carried.values().stream().mapToInt(Integer::intValue).max().orElseThrow();
      int mean = cut.size() * each / live.size();
      assertTrue(most <= 2 * (mean + 1), hosts + " hosts: one carries " + most + " of " + mean);
    }
  }
}
