// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

/**
 * What a host that was told to stop may still take: at first everything, because callers come until
 * the balancer knows, and most requests end by far within the grace period; after that only what
 * ends before the host does even if it takes all of its time. Immutable; reads no clock.
 */
public final class StopWindow {
  /** The window of a host that nobody told to stop: it takes everything. */
  public static final StopWindow OPEN =
      new StopWindow(Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE);

  /** The window of a host that takes nothing more. */
  public static final StopWindow CLOSED =
      new StopWindow(Long.MIN_VALUE, Long.MIN_VALUE, Long.MIN_VALUE, Long.MIN_VALUE);

  /**
   * How long everything is taken, in milliseconds from the order: operators excuse the cut of an
   * answer that was asked for within 3 s of the order to stop, less the order's way to this host.
   */
  private static final long ALL_MS = 2_800;

  /** The same for short grace periods, as a part of them; 3 s are this part of the usual 8 s. */
  private static final double ALL_PART = 3.0 / 8.0;

  /**
   * How long before the end of the grace period the host begins to end by itself, in milliseconds:
   * a host with three quarters of a core stalls for some tenths of a second, and what is open still
   * has to get its answer after that.
   */
  private static final long BEFORE_KILL_MS = 600;

  /**
   * How long before the end of the grace period the process is gone whatever holds it up, in
   * milliseconds: the order to stop takes some time to come, and the process some tens to end.
   */
  private static final long GONE_BEFORE_KILL_MS = 150;

  /**
   * The last part of the grace period: operators excuse the cut of an answer on which an endpoint
   * still works then, so that a host which ends by itself before it would cut others.
   */
  private static final long LAST_PART = 6;

  private final long allUntilMs;
  private final long endMs;
  private final long earliestEndMs;
  private final long goneMs;

  private StopWindow(long allUntilMs, long endMs, long earliestEndMs, long goneMs) {
    this.allUntilMs = allUntilMs;
    this.endMs = endMs;
    this.earliestEndMs = earliestEndMs;
    this.goneMs = goneMs;
  }

  /**
   * Returns the window of a host that is told to stop.
   *
   * @param orderedMs when the order came, in milliseconds of the host's clock
   * @param graceMs the time between the order and the end by force, in milliseconds
   */
  public static StopWindow from(long orderedMs, long graceMs) {
    long lastsMs = Math.max(0, graceMs - BEFORE_KILL_MS);
    long allMs = Math.min(lastsMs, Math.min(ALL_MS, (long) (graceMs * ALL_PART)));
    long goneMs = Math.max(0, graceMs - GONE_BEFORE_KILL_MS);
    long earliestMs = Math.min(lastsMs, graceMs - graceMs / LAST_PART);
    return new StopWindow(
        orderedMs + allMs, orderedMs + lastsMs, orderedMs + earliestMs, orderedMs + goneMs);
  }

  /**
   * Returns the window of a host that may have been told to stop before it could handle that. At
   * most half of the grace period is taken for gone: what is in progress gets the other half.
   *
   * @param earliestMs when the order may have come at the earliest, in milliseconds of the host's
   *     clock
   * @param handledMs when it was handled
   * @param graceMs the time between the order and the end by force, in milliseconds
   */
  public static StopWindow from(long earliestMs, long handledMs, long graceMs) {
    return from(Math.max(earliestMs, handledMs - graceMs / 2), graceMs);
  }

  /**
   * Tells whether a request may be taken.
   *
   * @param nowMs when it is whole, in milliseconds of the host's clock
   * @param deadlineMs when it has its final answer at the latest, by the same clock
   */
  public boolean takes(long nowMs, long deadlineMs) {
    return nowMs < allUntilMs || deadlineMs < endMs;
  }

  /** Returns when the host begins its end at the latest, in milliseconds of its clock. */
  public long endMs() {
    return endMs;
  }

  /**
   * Returns when a host begins its end that comes to its work late: earlier by so much, because the
   * last answers and the end of the process will be as late.
   *
   * @param lateMs how late it came at worst during the stop, in milliseconds
   */
  public long endMs(long lateMs) {
    return Math.max(earliestEndMs, endMs - lateMs);
  }

  /** Returns when the process is gone at the latest, in milliseconds of the host's clock. */
  public long goneMs() {
    return goneMs;
  }
}
