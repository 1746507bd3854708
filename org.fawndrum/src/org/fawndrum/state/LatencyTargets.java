// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

/**
 * Latency targets of a request, and the limit on its attempts. 0 means not set.
 *
 * @param firstTokenMs target for the time to the first token, or to the answer of a plain call, in
 *     milliseconds
 * @param pauseMs target for the longest pause between two events of a stream, in milliseconds
 * @param maxAttempts maximum number of endpoints that the request may be sent to
 */
public record LatencyTargets(long firstTokenMs, long pauseMs, int maxAttempts) {
  /** No targets and no limit. */
  public static final LatencyTargets NONE = new LatencyTargets(0, 0, 0);

  /** Returns these targets with the elapsed time, in milliseconds, deducted from the first one. */
  public LatencyTargets remainingAfter(long elapsedMs) {
    boolean unchanged = firstTokenMs == 0 || elapsedMs <= 0;
    return unchanged
        ? this
        : new LatencyTargets(Math.max(1, firstTokenMs - elapsedMs), pauseMs, maxAttempts);
  }
}
