// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.junit.jupiter.api.Test;

/**
 * After a loss of power, hosts spent their processors on going through all other hosts, again with
 * each message that arrived, and had none left for callers. Judged by counts, with the test's
 * clock.
 */
class FleetWorkTest {
  private static final int HOSTS = 82;

  /** Time between two steps, as with many messages a second, in milliseconds. */
  private static final long STEP_MS = 10;

  private static final long RUN_MS = 10_000;

  private static FleetMember member(int number) {
    HostIdentity identity = new HostIdentity("host-" + number, 1);
    return new FleetMember(
        identity, new HostAddress("10.0.0." + number, 7), "zone-a", 1_000 - number);
  }

  @Test
  void hostThatDoesNotKnowTheFleetYetSeldomGoesThroughIt() {
    AtomicInteger looks = new AtomicInteger();
    List<HostAddress> seeds = List.of(member(1).address(), member(HOSTS + 1).address());
    IssuerSelector selector =
        new IssuerSelector(
            member(0),
            () -> {
              looks.incrementAndGet();
              return seeds;
            });
    for (long nowMs = 0; nowMs < RUN_MS; nowMs += STEP_MS) {
      if (nowMs % 1_000 == 0) {
        for (int other = 1; other < HOSTS; other++) {
          selector.observed(member(other).issuing(), nowMs);
        }
      }
      selector.check(nowMs);
    }
    assertFalse(selector.isEstablished());
    // Once a second it looks for what it has lost, and four times whether it knows the fleet.
    assertTrue(looks.get() <= 5 * RUN_MS / 1_000, looks + " looks");
  }

  @Test
  void linksAreChosenAnewOnlyOnceAHeartbeatUnlessADaemonComes() {
    FleetOverlay overlay = new FleetOverlay(member(0), new SilentWatcher());
    for (int other = 1; other < HOSTS; other++) {
      overlay.receivedFrom(member(other), true, 0);
    }
    List<FleetMember> links = overlay.sameZoneLinks(0);
    assertEquals(HOSTS - 1, links.size());
    for (long nowMs = 0; nowMs < LinkSelector.CACHE_MS; nowMs += STEP_MS) {
      overlay.receivedFrom(member(1), true, nowMs);
      assertSame(links, overlay.sameZoneLinks(nowMs));
    }
    overlay.receivedFrom(member(HOSTS), true, LinkSelector.CACHE_MS - 1);
    assertNotSame(links, overlay.sameZoneLinks(LinkSelector.CACHE_MS - 1));
  }

  /**
   * A link that is due for another choice is not kept beyond the time at which its leader fell
   * silent.
   */
  @Test
  void aSilentLeaderIsReplacedNoLaterForThat() {
    FleetOverlay overlay = new FleetOverlay(member(2), new SilentWatcher());
    overlay.receivedFrom(member(0), false, 0);
    overlay.receivedFrom(member(1), false, 0);
    assertEquals("host-0", overlay.zoneLeader(0).identity().host());
    overlay.receivedFrom(member(1), false, 1_100);
    assertEquals("host-0", overlay.zoneLeader(1_200).identity().host());
    assertEquals("host-1", overlay.zoneLeader(1_201).identity().host());
  }

  /** Ignores who appears and who is gone. */
  private static final class SilentWatcher implements FleetOverlay.Watcher {
    @Override
    public void appeared(FleetMember member) {}

    @Override
    public void gone(FleetMember member, long silentMs) {}
  }
}
