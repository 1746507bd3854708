// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;

/** Clock of a host. Safe for all threads. */
public interface HostClock {
  /** A time before any other; subtracting it from a time does not overflow. */
  long NEVER_MS = Long.MIN_VALUE / 2;

  /** Returns the time in milliseconds. It never runs backwards and starts near the Unix time. */
  long nowMs();

  /**
   * Creates the clock of this process. It starts at the wall clock, then follows the monotonic
   * clock, and adds the time for which the machine was suspended.
   *
   * @param log the log for detected suspensions
   */
  static HostClock system(HostLog log) {
    return of(ClockSources.system(), log);
  }

  /** Creates such a clock from the given sources. */
  static HostClock of(ClockSources sources, HostLog log) {
    return new SuspendAwareClock(
        sources, ms -> log.event(LogEvent.HOST_SUSPENDED, Long.toString(ms)));
  }
}
