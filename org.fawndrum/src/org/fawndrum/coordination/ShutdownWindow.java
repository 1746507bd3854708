// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

/**
 * Decides which requests a host accepts during shutdown. At first it accepts everything, because
 * callers arrive until the load balancer is updated and most requests complete well within the
 * grace period. After that it accepts only requests whose deadline is before the host's own
 * shutdown. Immutable; does not read a clock.
 */
public final class ShutdownWindow {
  /** The window of a host without a stop order, which accepts everything. */
  public static final ShutdownWindow UNRESTRICTED =
      new ShutdownWindow(Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE);

  /** The window of a host that accepts nothing any more. */
  public static final ShutdownWindow CLOSED =
      new ShutdownWindow(Long.MIN_VALUE, Long.MIN_VALUE, Long.MIN_VALUE, Long.MIN_VALUE);

  /**
   * How long everything is accepted after the stop order, in milliseconds. Operators tolerate the
   * truncation of answers requested within 3 s of the order; this is less by the time that the
   * order takes to reach the host.
   */
  private static final long ACCEPT_ALL_MS = 2_800;

  /** The same limit for short grace periods, as a fraction of them; 3 s of the usual 8 s. */
  private static final double ACCEPT_ALL_FRACTION = 3.0 / 8.0;

  /**
   * How long before the end of the grace period the host starts its own shutdown, in milliseconds.
   * A host with three quarters of a core stalls for some tenths of a second, and open requests
   * still need their answers after that.
   */
  private static final long SHUTDOWN_BEFORE_KILL_MS = 600;

  /**
   * How long before the end of the grace period the process exits in any case, in milliseconds. The
   * stop order takes some time to arrive, and the process needs some tens of milliseconds to exit.
   */
  private static final long EXIT_BEFORE_KILL_MS = 150;

  /**
   * The last part of the grace period is the period divided by this number. Operators tolerate the
   * truncation of answers that an endpoint is still generating in that part only, so a host must
   * not start its shutdown before it.
   */
  private static final long PROTECTED_TAIL_DIVISOR = 6;

  private final long acceptAllUntilMs;
  private final long shutdownMs;
  private final long earliestShutdownMs;
  private final long exitMs;

  private ShutdownWindow(
      long acceptAllUntilMs, long shutdownMs, long earliestShutdownMs, long exitMs) {
    this.acceptAllUntilMs = acceptAllUntilMs;
    this.shutdownMs = shutdownMs;
    this.earliestShutdownMs = earliestShutdownMs;
    this.exitMs = exitMs;
  }

  /**
   * Returns the window for a stop order.
   *
   * @param orderedMs when the order arrived, in milliseconds of the host's clock
   * @param graceMs the time from the order to the forced kill, in milliseconds
   */
  public static ShutdownWindow from(long orderedMs, long graceMs) {
    long shutdownAfterMs = Math.max(0, graceMs - SHUTDOWN_BEFORE_KILL_MS);
    long acceptAllMs =
        Math.min(shutdownAfterMs, Math.min(ACCEPT_ALL_MS, (long) (graceMs * ACCEPT_ALL_FRACTION)));
    long exitMs = Math.max(0, graceMs - EXIT_BEFORE_KILL_MS);
    long earliestMs = Math.min(shutdownAfterMs, graceMs - graceMs / PROTECTED_TAIL_DIVISOR);
    return new ShutdownWindow(
        orderedMs + acceptAllMs,
        orderedMs + shutdownAfterMs,
        orderedMs + earliestMs,
        orderedMs + exitMs);
  }

  /**
   * Returns the window for a stop order that may have arrived before it could be handled. Assumes
   * that at most half of the grace period has passed, and leaves the other half to requests in
   * progress.
   *
   * @param earliestMs the earliest time at which the order may have arrived, in milliseconds of the
   *     host's clock
   * @param handledMs when it was handled
   * @param graceMs the time from the order to the forced kill, in milliseconds
   */
  public static ShutdownWindow from(long earliestMs, long handledMs, long graceMs) {
    return from(Math.max(earliestMs, handledMs - graceMs / 2), graceMs);
  }

  /**
   * Whether a request may be accepted.
   *
   * @param nowMs when it has fully arrived, in milliseconds of the host's clock
   * @param deadlineMs when it has its final answer at the latest, by the same clock
   */
  public boolean accepts(long nowMs, long deadlineMs) {
    return nowMs < acceptAllUntilMs || deadlineMs < shutdownMs;
  }

  /**
   * Returns the latest time at which the host starts its own shutdown, in milliseconds of its
   * clock.
   */
  public long shutdownMs() {
    return shutdownMs;
  }

  /**
   * Returns when a host whose events are delayed starts its own shutdown. It starts earlier by the
   * delay, since the last answers and the exit of the process will be delayed as much.
   *
   * @param lateMs the maximum delay during the shutdown so far, in milliseconds
   */
  public long shutdownMs(long lateMs) {
    return Math.max(earliestShutdownMs, shutdownMs - lateMs);
  }

  /** Returns when the process exits at the latest, in milliseconds of the host's clock. */
  public long exitMs() {
    return exitMs;
  }
}
