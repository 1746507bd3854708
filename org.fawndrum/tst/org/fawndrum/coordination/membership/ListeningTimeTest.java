// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.junit.jupiter.api.Test;

/** Which time counts as silence of other daemons. */
class ListeningTimeTest {
  private static final long STEP_MS = FleetOverlay.LISTENED_INTERVAL_MS;

  private final List<String> gone = new ArrayList<>();
  private final FleetOverlay overlay = new FleetOverlay(member("a-2", "a"), new RecordingWatcher());

  /** Records which daemons are gone. */
  private final class RecordingWatcher implements FleetOverlay.Watcher {
    @Override
    public void appeared(FleetMember member) {}

    @Override
    public void gone(FleetMember member, long silentMs) {
      gone.add(member.identity().host() + " " + silentMs);
    }
  }

  private static FleetMember member(String host, String zone) {
    return new FleetMember(new HostIdentity(host, 1), new HostAddress(host, 7), zone, 20);
  }

  private void listen(long fromMs, long untilMs) {
    for (long atMs = fromMs; atMs <= untilMs; atMs += STEP_MS) {
      overlay.listened(atMs);
      overlay.expire(atMs);
    }
  }

  @Test
  void silenceCountsInFullWhileThisDaemonListens() {
    overlay.receivedFrom(member("a-3", "a"), false, 0);
    listen(0, 3_500);
    assertEquals(List.of(), gone);
    listen(3_750, 3_750);
    assertEquals(List.of("a-3 3750"), gone);
  }

  @Test
  void timeWithoutAProcessorIsNoSilenceOfOthers() {
    overlay.receivedFrom(member("a-1", "a"), false, 0);
    overlay.receivedFrom(member("b-1", "b"), false, 0);
    overlay.listened(0);
    overlay.expire(20_000);
    assertEquals(List.of(), gone);
    assertEquals("a-1", overlay.zoneLeader(20_000).identity().host());
    assertEquals(Set.of(), overlay.silentZones(20_000));
    overlay.listened(20_000);
    overlay.expire(20_000);
    assertEquals(List.of(), gone);
    assertEquals("a-1", overlay.zoneLeader(20_000).identity().host());
  }

  @Test
  void whatThisDaemonHeardInTimeStillCounts() {
    overlay.receivedFrom(member("a-3", "a"), false, 0);
    listen(0, 2_000);
    listen(12_000, 13_000);
    assertEquals(List.of(), gone);
    listen(13_250, 13_250);
    assertEquals(List.of("a-3 3550"), gone);
  }

  @Test
  void aDaemonThatIsAlwaysLateStillFindsSilentOnes() {
    overlay.receivedFrom(member("a-3", "a"), false, 0);
    for (long atMs = 0; atMs <= 26_000; atMs += 2_000) {
      overlay.listened(atMs);
      overlay.expire(atMs);
    }
    assertEquals(List.of("a-3 3600"), gone);
  }

  @Test
  void permitsAreBoundByTheClock() {
    FleetMember other = member("a-3", "a");
    overlay.receivedFrom(other.issuing(), false, 0);
    overlay.listened(0);
    assertEquals("a-3", overlay.issuers().issuer("e-1", 100).identity().host());
    assertEquals(null, overlay.issuers().issuer("e-1", 20_000));
  }
}
