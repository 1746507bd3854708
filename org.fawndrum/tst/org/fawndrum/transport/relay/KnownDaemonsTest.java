// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.junit.jupiter.api.Test;

/** Which daemons count as alive, and for how long their addresses are tried. */
class KnownDaemonsTest {
  private static final HostAddress OWN = new HostAddress("127.0.0.1", 1);
  private static final HostAddress THERE = new HostAddress("127.0.0.2", 1);
  private static final HostIdentity FIRST = new HostIdentity("host-2", 1);
  private static final HostIdentity SECOND = new HostIdentity("host-2", 2);

  private final KnownDaemons daemons = new KnownDaemons(OWN);
  private final List<String> gone = new ArrayList<>();

  private void forget(long nowMs) {
    daemons.forget(
        nowMs, (address, daemon, silentMs) -> gone.add(address + " " + daemon + " " + silentMs));
  }

  @Test
  void aNewIncarnationTakesThePlaceOfTheOneBefore() {
    assertNull(daemons.heard(FIRST, THERE, 0));
    assertEquals(FIRST, daemons.heard(SECOND, THERE, 10));
    assertEquals(List.of(THERE), daemons.aliveNow());
  }

  @Test
  void aSilentDaemonIsGoneOnceAndItsAddressIsTriedForAMinute() {
    daemons.heard(FIRST, THERE, 0);
    forget(3_500);
    assertEquals(List.of(), gone);
    forget(3_501);
    forget(4_501);
    assertEquals(List.of(THERE + " " + FIRST + " 3501"), gone);
    assertEquals(List.of(), daemons.aliveNow());
    forget(60_000);
    assertEquals(Set.of(THERE), daemons.addresses());
    forget(60_001);
    assertEquals(Set.of(), daemons.addresses());
  }

  @Test
  void theOwnAddressIsNotLearned() {
    daemons.learn(List.of(OWN, THERE), 0);
    assertEquals(Set.of(THERE), daemons.addresses());
    assertEquals(List.of(), daemons.aliveNow());
  }

  @Test
  void otherThreadsSeeWhoIsAliveWhenItIsShown() {
    daemons.heard(FIRST, THERE, 0);
    assertEquals(List.of(), daemons.alive());
    daemons.showAlive();
    assertEquals(List.of(THERE), daemons.alive());
  }
}
