// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

/** An action at a virtual time. */
record FleetStep(long atMs, long order, Runnable action) implements Comparable<FleetStep> {
  @Override
  public int compareTo(FleetStep other) {
    int byTime = Long.compare(atMs, other.atMs);
    return byTime != 0 ? byTime : Long.compare(order, other.order);
  }
}
