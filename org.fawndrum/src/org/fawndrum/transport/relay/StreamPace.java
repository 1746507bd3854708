// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

/** How the events of one stream followed each other. Confined to one thread. */
final class StreamPace {
  private long events;
  private long lastMs;
  private long longestPauseMs;
  private long longestPauseAfter;

  /** Takes note of an event that was passed on. */
  void event(long nowMs) {
    if (events > 0 && nowMs - lastMs > longestPauseMs) {
      longestPauseMs = nowMs - lastMs;
      longestPauseAfter = events;
    }
    events++;
    lastMs = nowMs;
  }

  /** Returns how many events there were. */
  long events() {
    return events;
  }

  /** Returns the longest time between two events, in milliseconds. */
  long longestPauseMs() {
    return longestPauseMs;
  }

  /** Returns after how many events the longest pause came. */
  long longestPauseAfter() {
    return longestPauseAfter;
  }
}
