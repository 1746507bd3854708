// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.function.BooleanSupplier;

/** Waits until a host that starts can serve callers. Confined to one event loop. */
final class HostStart {
  /** Interval at which the state of the host is looked at, in milliseconds. */
  private static final long POLL_MS = 20;

  private final Timer timer;
  private final BooleanSupplier hasState;
  private final Runnable onServing;

  /**
   * Creates a start that has not begun.
   *
   * @param timer runs steps on the event loop
   * @param hasState whether the host has the state that it needs to serve callers
   * @param onServing called once, when it has
   */
  HostStart(Timer timer, BooleanSupplier hasState, Runnable onServing) {
    this.timer = timer;
    this.hasState = hasState;
    this.onServing = onServing;
  }

  /** Begins to wait. */
  void begin() {
    if (hasState.getAsBoolean()) {
      onServing.run();
    } else {
      timer.runAfter(POLL_MS, this::begin);
    }
  }
}
