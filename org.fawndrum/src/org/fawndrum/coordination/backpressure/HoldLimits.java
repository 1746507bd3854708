// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.backpressure;

/**
 * Limits of what a host holds in memory for callers and endpoints.
 *
 * @param totalBytes maximum bytes held for all requests: bodies, answers that are not complete, and
 *     bytes queued for callers
 * @param callerBytes bytes queued for one caller above which the host stops reading the answer from
 *     its endpoint
 * @param answerBytes maximum bytes of an answer that is kept until it is complete
 * @param eventBytes maximum bytes of one event of a stream
 * @param unreadMs how long a caller may leave queued bytes unread while an endpoint waits for it,
 *     or after it has stopped waiting for its answer, in milliseconds
 */
public record HoldLimits(
    long totalBytes, int callerBytes, int answerBytes, int eventBytes, long unreadMs) {
  /** A quarter of the heap that hosts run with, 128 MB. */
  public static final long DEFAULT_TOTAL_BYTES = 32L << 20;

  /** The usual size of a connection's write queue; a stream's event has a few hundred bytes. */
  public static final int DEFAULT_CALLER_BYTES = 64 << 10;

  /** Twice the largest request body that deployments accept. */
  public static final int DEFAULT_ANSWER_BYTES = 8 << 20;

  /** Some thousand times the size of a usual event. */
  public static final int DEFAULT_EVENT_BYTES = 1 << 20;

  /**
   * Endpoints end an answer that is unread for some seconds, and callers give up on an answer
   * without progress after two seconds.
   */
  public static final long DEFAULT_UNREAD_MS = 2_000;

  /** The limits of a deployment that sets none. */
  public static final HoldLimits DEFAULT =
      new HoldLimits(
          DEFAULT_TOTAL_BYTES,
          DEFAULT_CALLER_BYTES,
          DEFAULT_ANSWER_BYTES,
          DEFAULT_EVENT_BYTES,
          DEFAULT_UNREAD_MS);
}
