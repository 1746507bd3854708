// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.backpressure;

/**
 * The state of a connection's write queue at one time.
 *
 * @param bytes the bytes that the operating system has not accepted yet
 * @param first identifies the first message in the queue; null if the queue is empty
 * @param firstWritten how many bytes of that message were written
 */
public record WriteQueue(long bytes, Object first, long firstWritten) {
  /** A queue without bytes. */
  public static final WriteQueue EMPTY = new WriteQueue(0, null, 0);

  /** Returns whether bytes were written between an earlier state and this one. */
  boolean hasProgressSince(WriteQueue earlier) {
    return first != earlier.first || firstWritten != earlier.firstWritten || bytes < earlier.bytes;
  }
}
