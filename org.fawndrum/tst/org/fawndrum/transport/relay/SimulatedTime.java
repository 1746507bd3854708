// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.fawndrum.transport.HostClock;

/** Runs steps one after the other, each at its time, without waiting. */
final class SimulatedTime implements Timer, HostClock {
  private final PriorityQueue<Step> steps =
      new PriorityQueue<>(Comparator.comparingLong(Step::atMs).thenComparingLong(Step::order));
  private long nowMs = 1_000_000;
  private long order;

  private record Step(long atMs, long order, Runnable task) {}

  @Override
  public long nowMs() {
    return nowMs;
  }

  @Override
  public void runAfter(long delayMs, Runnable step) {
    steps.add(new Step(nowMs + delayMs, order++, step));
  }

  /** Runs all steps of the next milliseconds. */
  void elapse(long ms) {
    long endMs = nowMs + ms;
    while (!steps.isEmpty() && steps.peek().atMs() <= endMs) {
      Step step = steps.remove();
      nowMs = step.atMs();
      step.task().run();
    }
    nowMs = endMs;
  }
}
