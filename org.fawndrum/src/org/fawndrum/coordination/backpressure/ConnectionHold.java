// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.backpressure;

/**
 * What a host holds for one connection of a caller: the bytes queued for it, and the request in
 * progress. Times are those of the host's clock, in milliseconds. Confined to one thread.
 */
public final class ConnectionHold {
  private static final long NONE = Long.MIN_VALUE;

  private RequestHold request = new RequestHold("");
  private WriteQueue queue = WriteQueue.EMPTY;
  private long unreadSinceMs = NONE;
  private boolean slowlyRead;

  /** Returns the request in progress, or the last one. */
  public RequestHold request() {
    return request;
  }

  void requestStarted(RequestHold started) {
    request = started;
    slowlyRead = false;
  }

  void sample(WriteQueue newer, long nowMs) {
    boolean progress = newer.bytes() == 0 || newer.hasProgressSince(queue);
    slowlyRead |= progress && unreadMs(nowMs) >= HeldBytes.SLOW_AFTER_MS;
    if (newer.bytes() == 0) {
      unreadSinceMs = NONE;
    } else if (unreadSinceMs == NONE || progress) {
      unreadSinceMs = nowMs;
    }
    queue = newer;
  }

  /**
   * Returns whether the caller has read bytes of the answer in progress after it had seemed to read
   * nothing. The systems at both ends queue bytes, too, and a slow reader's progress shows here
   * only in steps of these queues, after seconds.
   */
  public boolean slowlyRead() {
    return slowlyRead;
  }

  /**
   * Returns the bytes queued for the caller. The connection's own queue has only a part of those of
   * a stream while it is full.
   */
  public long queuedBytes() {
    return Math.max(queue.bytes(), request.unwrittenBytes());
  }

  /** Returns for how long the caller has left queued bytes unread; 0 if it has not. */
  public long unreadMs(long nowMs) {
    return unreadSinceMs == NONE ? 0 : nowMs - unreadSinceMs;
  }

  /**
   * Returns whether the caller has to be taken for one that reads nothing. Time without progress
   * alone is no sign of that, since the progress of a slow reader may show only after seconds. It
   * counts once the caller no longer waits for its answer, and while an endpoint waits for the
   * caller, which it does for a short time only.
   *
   * @param maxMs how long queued bytes may then stay unread, in milliseconds
   */
  boolean isUnreadTooLong(long maxMs, long nowMs) {
    boolean counts = request.leftMs(nowMs) == 0 || request.endpointWaitsMs(nowMs) >= maxMs;
    return counts && unreadMs(nowMs) >= maxMs;
  }

  /** Returns for how long the caller, or the endpoint of its request, has read nothing. */
  long blockedMs(long nowMs) {
    return Math.max(unreadMs(nowMs), request.bodyBlockedMs(nowMs));
  }

  long totalBytes() {
    return request.keptBytes() + queuedBytes();
  }
}
