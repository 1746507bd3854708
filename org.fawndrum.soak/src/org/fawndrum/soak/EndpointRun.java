// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

/** One arrival of a request at an endpoint, until its end there. Confined to one event loop. */
final class EndpointRun {
  /** For how long the last bytes of an answer may be on their way, in milliseconds. */
  private static final long ON_ITS_WAY_MS = 500;

  private boolean open = true;
  private boolean answers;
  private boolean harmed;
  private boolean brokenOff;
  private boolean lostOnItsWay;
  private long overMs;

  /** Takes note that it began to send a successful answer. */
  void answerBegan() {
    answers = true;
  }

  /** Tells whether it began to send a successful answer. */
  boolean hasAnswered() {
    return answers;
  }

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

  /** Takes note that its endpoint ended: what had left it lately may not have reached its host. */
  void endpointEnded(long nowMs) {
    lostOnItsWay |= !open && nowMs - overMs <= ON_ITS_WAY_MS;
  }

  /** Tells whether its endpoint ended just after it had answered. */
  boolean isLostOnItsWay() {
    return lostOnItsWay;
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
