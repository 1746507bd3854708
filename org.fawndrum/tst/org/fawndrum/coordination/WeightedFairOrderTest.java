// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.fawndrum.state.CallerGroup;
import org.fawndrum.state.EndpointKind;
import org.junit.jupiter.api.Test;

/** Work is shared by weight, and groups over their share are detected. */
class WeightedFairOrderTest {
  private static RequestFacts request(String workspace, long tokens) {
    return new RequestFacts(
        "r",
        new CallerGroup(workspace, "c"),
        new RequestTarget(EndpointKind.MODEL, "m"),
        tokens,
        0,
        0,
        0,
        true,
        List.of());
  }

  @Property(tries = 300, seed = "95")
  void backloggedGroupsGetWorkByWeight(@ForAll long seed) {
    Random random = new Random(seed);
    WeightedFairOrder order = new WeightedFairOrder(0);
    long[] weights = {1, 2, 5};
    double[] workOf = new double[weights.length];
    for (int group = 0; group < weights.length; group++) {
      order.backlogged(request("w" + group, 1));
    }
    for (int i = 0; i < 3_000; i++) {
      int next = 0;
      for (int group = 1; group < weights.length; group++) {
        double sortKey = order.sortKey(request("w" + group, 1), weights[group], false);
        next = sortKey < order.sortKey(request("w" + next, 1), weights[next], false) ? group : next;
      }
      long tokens = 1 + random.nextInt(1_000);
      order.dispatched(request("w" + next, tokens), weights[next]);
      workOf[next] += tokens;
    }
    for (int group = 1; group < weights.length; group++) {
      double share = workOf[group] / weights[group] / (workOf[0] / weights[0]);
      assertEquals(1.0, share, 0.1);
    }
  }

  @Test
  void groupAloneIsNeverOverItsShare() {
    WeightedFairOrder order = new WeightedFairOrder(0);
    for (int i = 0; i < 100; i++) {
      order.dispatched(request("a", 100_000), 1);
    }
    assertFalse(order.isOverShare(request("a", 1)));
  }

  @Test
  void groupWithMoreWorkThanOthersIsOverItsShare() {
    WeightedFairOrder order = new WeightedFairOrder(0);
    for (int i = 0; i < 100; i++) {
      order.dispatched(request("a", 100_000), 1);
      order.dispatched(request("b", 10_000), 1);
    }
    assertTrue(order.isOverShare(request("a", 1)));
    assertFalse(order.isOverShare(request("b", 1)));
  }
}
