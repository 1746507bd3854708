// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

/**
 * What the caller of a request expects, and how often it may be sent.
 *
 * @param firstTokenMs the time to the first token, or to the answer of a plain call, within which
 *     it is in time, in milliseconds; 0 when nothing is said
 * @param pauseMs the longest pause between events of a stream that is still in time, in
 *     milliseconds; 0 when nothing is said
 * @param mostAttempts the most endpoints that the request may be sent to; 0 when nothing is said
 */
public record RequestAims(long firstTokenMs, long pauseMs, int mostAttempts) {
  /** Says nothing. */
  public static final RequestAims NONE = new RequestAims(0, 0, 0);

  /** Returns what is still expected after a time, in milliseconds. */
  public RequestAims after(long passedMs) {
    boolean unchanged = firstTokenMs == 0 || passedMs <= 0;
    return unchanged
        ? this
        : new RequestAims(Math.max(1, firstTokenMs - passedMs), pauseMs, mostAttempts);
  }
}
