// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.fawndrum.coordination.DrainedZones;
import org.fawndrum.protocol.StorePosition;
import org.fawndrum.protocol.ZoneDrains;
import org.junit.jupiter.api.Test;

/** Which of several reports about drained zones holds, whatever the order of their arrival. */
class ZoneDrainStoreTest {
  private final DrainedZones zones = new DrainedZones();
  private final List<String> changes = new ArrayList<>();
  private final ZoneDrainStore store = new ZoneDrainStore(zones, new Recorder());

  /** Records the calls. */
  private final class Recorder implements ZoneDrainStore.Listener {
    @Override
    public void beforeTakenBack(Set<String> takenBack) {
      changes.add(takenBack + " ends, drained: " + zones.zones().containsAll(takenBack));
    }

    @Override
    public void changed(Set<String> drained, Set<String> takenBack, ZoneDrains now, String source) {
      changes.add("+" + drained + " -" + takenBack + " by " + source);
    }
  }

  private boolean offer(long epoch, long offset, String... drained) {
    return store.offer(new ZoneDrains(Set.of(drained), new StorePosition(epoch, offset)), "peer");
  }

  @Test
  void peerWithAnOlderPositionChangesNothing() {
    assertTrue(offer(1, 9, "zone-a"));
    assertFalse(offer(1, 8));
    assertFalse(store.offer(ZoneDrains.NONE, "peer"));
    assertTrue(zones.contains("zone-a"));
    assertEquals(List.of("+[zone-a] -[] by peer"), changes);
  }

  @Test
  void laterEpochHoldsEvenAtASmallerOffset() {
    offer(1, 9, "zone-a");
    assertTrue(offer(2, 3));
    assertFalse(zones.contains("zone-a"));
    assertFalse(offer(1, 10, "zone-a"), "an earlier epoch");
    assertFalse(zones.contains("zone-a"));
  }

  @Test
  void setTakenBackAndSetAgainWithinOneSecondReportedInAnyOrder() {
    offer(1, 3, "zone-a");
    offer(1, 5, "zone-a");
    offer(1, 4);
    assertTrue(zones.contains("zone-a"));
    assertEquals(List.of("+[zone-a] -[] by peer"), changes, "nothing changed since");
  }

  @Test
  void oneOfTwoZonesIsTakenBack() {
    offer(1, 3, "zone-a", "zone-b");
    changes.clear();
    offer(1, 4, "zone-b");
    assertEquals(Set.of("zone-b"), zones.zones());
    assertEquals(
        List.of("[zone-a] ends, drained: true", "+[] -[zone-a] by peer"),
        changes,
        "what must precede new requests comes first");
  }
}
