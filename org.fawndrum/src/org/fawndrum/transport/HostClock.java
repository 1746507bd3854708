// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

/** The clock of a host. */
public interface HostClock {
  /** Returns milliseconds that never run backwards; near the epoch's, for people to read. */
  long nowMs();

  /** Returns the clock of this process: it starts at the wall clock and then follows no changes. */
  static HostClock system() {
    long startMs = System.currentTimeMillis();
    long startNanos = System.nanoTime();
    return () -> startMs + (System.nanoTime() - startNanos) / 1_000_000;
  }
}
