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

  /** Returns the request in progress, or the last one. */
  public RequestHold request() {
    return request;
  }

  void requestStarted(RequestHold started) {
    request = started;
  }

  void sample(WriteQueue newer, long nowMs) {
    if (newer.bytes() == 0) {
      unreadSinceMs = NONE;
    } else if (unreadSinceMs == NONE || newer.hasProgressSince(queue)) {
      unreadSinceMs = nowMs;
    }
    queue = newer;
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

  /** Returns for how long the caller, or the endpoint of its request, has read nothing. */
  long blockedMs(long nowMs) {
    return Math.max(unreadMs(nowMs), request.bodyBlockedMs(nowMs));
  }

  long totalBytes() {
    return request.keptBytes() + queuedBytes();
  }
}
