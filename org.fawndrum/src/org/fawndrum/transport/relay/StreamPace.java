// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

/** Records the intervals between the events of one stream. Confined to one thread. */
final class StreamPace {
  private long events;
  private long lastMs;
  private long longestPauseMs;
  private long longestPauseAfter;

  /** Records an event that was forwarded. */
  void recordEvent(long nowMs) {
    if (events > 0 && nowMs - lastMs > longestPauseMs) {
      longestPauseMs = nowMs - lastMs;
      longestPauseAfter = events;
    }
    events++;
    lastMs = nowMs;
  }

  /** Returns the number of events. */
  long events() {
    return events;
  }

  /** Returns the longest time between two events, in milliseconds. */
  long longestPauseMs() {
    return longestPauseMs;
  }

  /** Returns the number of events before the longest pause. */
  long longestPauseAfter() {
    return longestPauseAfter;
  }
}
