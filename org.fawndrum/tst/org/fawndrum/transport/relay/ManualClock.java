// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import org.fawndrum.transport.HostClock;

/** A clock that a test advances. */
final class ManualClock implements HostClock {
  private long nowMs;

  @Override
  public long nowMs() {
    return nowMs;
  }

  void advance(long ms) {
    nowMs += ms;
  }
}
