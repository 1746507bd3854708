// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.internal.duty;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Test;

/** Linearizability of {@link Ring} under concurrent use, and the capacity reserved in it. */
class RingTest {
  /** The operations that Lincheck runs: concurrent offers and polls by one thread at a time. */
  public static final class RingOperations {
    private final Ring<Integer> ring = new Ring<>(8);

    /** Offers an event. */
    @Operation
    public boolean offer(int event) {
      return ring.offer(event);
    }

    /** Polls the oldest event; never run by two threads at once. */
    @Operation(nonParallelGroup = "poller")
    public Integer poll() {
      return ring.poll();
    }
  }

  @Test
  void linearizableUnderStress() {
    new StressOptions()
        .iterations(5)
        .invocationsPerIteration(2_000)
        .threads(3)
        .actorsPerThread(3)
        .check(RingOperations.class);
  }

  @Test
  void linearizableUnderModelChecking() {
    new ModelCheckingOptions()
        .iterations(5)
        .invocationsPerIteration(1_000)
        .threads(3)
        .actorsPerThread(2)
        .check(RingOperations.class);
  }

  @Test
  void newWorkLeavesCapacityForEventsOfAcceptedWork() {
    Ring<Integer> ring = new Ring<>(16);
    int accepted = 0;
    while (ring.offerNew(accepted)) {
      accepted++;
    }
    assertEquals(14, accepted);
    assertTrue(ring.offer(100));
    assertTrue(ring.offer(101));
    assertFalse(ring.offer(102));
    assertEquals(2, ring.refused());
  }
}
