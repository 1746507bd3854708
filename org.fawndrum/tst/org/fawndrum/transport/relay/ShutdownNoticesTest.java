// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.fawndrum.state.HostIdentity;
import org.junit.jupiter.api.Test;

/** How long endpoint shutdowns are announced to other daemons, and how many. */
class ShutdownNoticesTest {
  private final ShutdownNotices notices = new ShutdownNotices();

  private static HostIdentity endpoint(int number) {
    return new HostIdentity("e-" + number, 1);
  }

  @Test
  void shutdownIsAnnouncedForFiveHeartbeats() {
    notices.add(List.of(endpoint(1)), 1_000);
    assertEquals(List.of(endpoint(1)), notices.current(1_000));
    notices.add(List.of(endpoint(2)), 4_000);
    assertEquals(List.of(endpoint(1), endpoint(2)), notices.current(6_000));
    assertEquals(List.of(endpoint(2)), notices.current(6_001));
  }

  @Test
  void latestShutdownsAreAnnounced() {
    List<HostIdentity> many = new ArrayList<>();
    for (int i = 0; i < 1_000; i++) {
      many.add(endpoint(i));
    }
    notices.add(many, 0);
    List<HostIdentity> announced = notices.current(0);
    assertEquals(64, announced.size());
    assertTrue(announced.contains(endpoint(999)));
    assertFalse(announced.contains(endpoint(0)));
  }
}
