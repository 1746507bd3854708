// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

/** One arrival of a request at an endpoint, until its end there. Confined to one event loop. */
final class EndpointRun {
  private boolean open = true;
  private boolean harmed;
  private boolean brokenOff;
  private long overMs;

  /** Takes note that it answered, that its connection closed or that the endpoint is gone. */
  void over(long nowMs) {
    if (open) {
      open = false;
      overMs = nowMs;
    }
  }

  /** Takes note that the endpoint broke it off, by falling silent or by closing its connection. */
  void brokenOff(long nowMs) {
    brokenOff |= open;
    over(nowMs);
  }

  /** Takes note that its answer may not arrive: its host cannot know when it was over. */
  void harmed() {
    harmed = true;
  }

  boolean isHarmed() {
    return harmed;
  }

  boolean isBrokenOff() {
    return brokenOff;
  }

  boolean isOpen() {
    return open;
  }

  /** Returns when it was over; only once it is. */
  long overMs() {
    return overMs;
  }

  /** Tells whether it was still at work at a time. */
  boolean atWork(long atMs) {
    return open || overMs >= atMs;
  }
}
