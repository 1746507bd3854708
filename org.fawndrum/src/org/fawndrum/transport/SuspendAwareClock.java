// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/**
 * A clock that includes the time for which the machine was suspended, during which the monotonic
 * clock stops. Suspensions are detected only here. To all other code a suspension looks like a
 * pause of the process of the same length, so that leases, reports and deadlines have their real
 * age.
 *
 * <p>The wall clock also jumps for other reasons, and the time since boot may come from an
 * enclosing machine and run at another rate. A suspension is therefore detected only when both jump
 * ahead of the monotonic clock at the same time. The wall clock is compared at each call, which
 * needs no system call; the time since boot is read once a second and whenever the wall clock
 * jumps.
 *
 * <p>Safe for all threads; never runs backwards.
 */
final class SuspendAwareClock implements HostClock {
  /**
   * Minimum detected suspension, in milliseconds; running clocks are adjusted by less than this.
   */
  static final long MIN_SUSPENSION_MS = 250;

  /** Maximum time between two comparisons of all clocks, in milliseconds. */
  private static final long MAX_COMPARE_INTERVAL_MS = 1_000;

  private final ClockSources sources;
  private final LongConsumer suspensionListener;
  private final long startMs;
  private final long startNanos;
  private volatile long suspendedMs;
  private volatile long comparedMs;

  /** Lead of the wall clock over the monotonic clock at the last comparison, in milliseconds. */
  private volatile long wallAheadMs;

  /** Lead of the time since boot over the monotonic clock at the last comparison, if known. */
  private OptionalLong bootAheadMs;

  /**
   * Creates the clock, which starts at the wall clock.
   *
   * @param suspensionListener receives the length of each suspension in milliseconds; must not
   *     block
   */
  SuspendAwareClock(ClockSources sources, LongConsumer suspensionListener) {
    this.sources = sources;
    this.suspensionListener = suspensionListener;
    this.startMs = sources.wallMs();
    this.startNanos = sources.steadyNanos();
    this.bootAheadMs = sources.bootMs();
  }

  @Override
  public long nowMs() {
    long steadyMs = steadyMs();
    boolean jumped = Math.abs(wallAhead(steadyMs) - wallAheadMs) >= MIN_SUSPENSION_MS;
    if (jumped || steadyMs - comparedMs >= MAX_COMPARE_INTERVAL_MS) {
      compare();
    }
    return startMs + steadyMs + suspendedMs;
  }

  private long steadyMs() {
    return TimeUnit.NANOSECONDS.toMillis(sources.steadyNanos() - startNanos);
  }

  private long wallAhead(long steadyMs) {
    return sources.wallMs() - startMs - steadyMs;
  }

  private synchronized void compare() {
    long steadyMs = steadyMs();
    long wallAhead = wallAhead(steadyMs);
    OptionalLong boot = sources.bootMs();
    OptionalLong bootAhead = boot.isPresent() ? OptionalLong.of(boot.getAsLong() - steadyMs) : boot;
    long wallJumpMs = wallAhead - wallAheadMs;
    long bootJumpMs =
        bootAhead.isPresent() && bootAheadMs.isPresent()
            ? bootAhead.getAsLong() - bootAheadMs.getAsLong()
            : 0;
    wallAheadMs = wallAhead;
    bootAheadMs = bootAhead;
    comparedMs = steadyMs;
    // The wall clock may be set at the same time. A boot time jump of at least half of its jump is
    // more than a clock that runs at another rate explains.
    if (wallJumpMs >= MIN_SUSPENSION_MS
        && bootJumpMs >= MIN_SUSPENSION_MS
        && 2 * bootJumpMs >= wallJumpMs) {
      // An age that is too high costs a query; one that is too low breaks a guarantee.
      long durationMs = Math.max(wallJumpMs, bootJumpMs);
      suspendedMs += durationMs;
      suspensionListener.accept(durationMs);
    }
  }
}
