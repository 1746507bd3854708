// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.fawndrum.state.HostIdentity;
import org.junit.jupiter.api.Test;

/** For how long other daemons are told that endpoints leave, and of how many. */
class LeavingNoticesTest {
  private final ShutdownNotices words = new ShutdownNotices();

  private static HostIdentity endpoint(int number) {
    return new HostIdentity("e-" + number, 1);
  }

  @Test
  void anEndpointIsNamedForFiveHeartbeats() {
    words.add(List.of(endpoint(1)), 1_000);
    assertEquals(List.of(endpoint(1)), words.current(1_000));
    words.add(List.of(endpoint(2)), 4_000);
    assertEquals(List.of(endpoint(1), endpoint(2)), words.current(6_000));
    assertEquals(List.of(endpoint(2)), words.current(6_001));
  }

  @Test
  void ofManyTheLastLearnedAreNamed() {
    List<HostIdentity> many = new ArrayList<>();
    for (int i = 0; i < 1_000; i++) {
      many.add(endpoint(i));
    }
    words.add(many, 0);
    List<HostIdentity> told = words.current(0);
    assertEquals(64, told.size());
    assertTrue(told.contains(endpoint(999)));
    assertFalse(told.contains(endpoint(0)));
  }
}
