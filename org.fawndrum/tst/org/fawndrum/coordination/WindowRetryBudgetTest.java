// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.fawndrum.state.EndpointKind;
import org.junit.jupiter.api.Test;

/** In no window are there more retries than the reserve and the requests allow. */
class WindowRetryBudgetTest {
  private static final RequestTarget TARGET = new RequestTarget(EndpointKind.PLAIN, "orders");
  private static final long WINDOW_MS = 1_000;
  private static final double RATIO = 0.2;
  private static final double RESERVE = 3;

  /**
   * A step is a request if negative, otherwise a retry; its absolute value is the time before it.
   */
  @Property(seed = "815", tries = 400)
  void limitHoldsInEveryWindow(
      @ForAll @Size(max = 200) List<@IntRange(min = -60, max = 60) Integer> steps) {
    WindowRetryBudget budget = new WindowRetryBudget(RATIO, () -> RESERVE, WINDOW_MS);
    List<Long> requests = new ArrayList<>();
    List<Long> retries = new ArrayList<>();
    long nowMs = 0;
    for (int step : steps) {
      nowMs += Math.abs(step);
      if (step < 0) {
        budget.recordFirstSend(TARGET, nowMs);
        requests.add(nowMs);
      } else if (budget.tryRetry(TARGET, nowMs)) {
        retries.add(nowMs);
      }
    }
    for (long end : retries) {
      long from = end - WINDOW_MS;
      long retryCount = retries.stream().filter(at -> at >= from && at <= end).count();
      long requestCount = requests.stream().filter(at -> at >= from && at <= end).count();
      assertTrue(
          retryCount <= RESERVE + RATIO * requestCount,
          retryCount + " retries, " + requestCount + " requests");
    }
  }

  @Test
  void targetsDoNotShareTheReserve() {
    WindowRetryBudget budget = new WindowRetryBudget(RATIO, () -> 1, WINDOW_MS);
    RequestTarget other = new RequestTarget(EndpointKind.PLAIN, "prices");
    assertTrue(budget.tryRetry(TARGET, 0));
    assertTrue(budget.tryRetry(other, 0));
    assertEquals(false, budget.tryRetry(TARGET, 1));
  }
}
