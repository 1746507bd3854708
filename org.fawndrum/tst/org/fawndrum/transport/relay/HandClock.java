// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import org.fawndrum.transport.HostClock;

/** A clock that a test moves. */
final class HandClock implements HostClock {
  private long nowMs;

  @Override
  public long nowMs() {
    return nowMs;
  }

  void pass(long ms) {
    nowMs += ms;
  }
}
