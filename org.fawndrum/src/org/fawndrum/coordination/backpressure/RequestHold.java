// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.backpressure;

/** What a host keeps for one request until it ends. Confined to one thread. */
public final class RequestHold {
  private static final long NONE = Long.MIN_VALUE;

  private final String id;
  private long keptBytes;
  private long unwrittenBytes;
  private long bodyBlockedSinceMs = NONE;
  private long endpointWaitsSinceMs = NONE;
  private long dueMs = NONE;
  private boolean ended;

  RequestHold(String id) {
    this.id = id;
  }

  /** Returns the id of the request; empty if it is not known. */
  public String id() {
    return id;
  }

  /** Returns the bytes of the request's body and of its answer before that is complete. */
  public long keptBytes() {
    return keptBytes;
  }

  /**
   * Records whether the endpoint has stopped reading the request's body.
   *
   * @param nowMs the time by the host's clock, in milliseconds
   */
  public void bodyBlocked(boolean blocked, long nowMs) {
    if (!blocked || ended) {
      bodyBlockedSinceMs = NONE;
    } else if (bodyBlockedSinceMs == NONE) {
      bodyBlockedSinceMs = nowMs;
    }
  }

  /** Returns for how long the endpoint has not read the body, in ms; 0 if it reads it. */
  long bodyBlockedMs(long nowMs) {
    return bodyBlockedSinceMs == NONE ? 0 : nowMs - bodyBlockedSinceMs;
  }

  /**
   * Records that the endpoint cannot send the rest of its answer because the caller does not read,
   * or that it can again.
   *
   * @param nowMs the time by the host's clock, in milliseconds
   */
  public void endpointWaits(boolean waits, long nowMs) {
    if (!waits || ended) {
      endpointWaitsSinceMs = NONE;
    } else if (endpointWaitsSinceMs == NONE) {
      endpointWaitsSinceMs = nowMs;
    }
  }

  /** Returns for how long the endpoint has waited for the caller, in ms; 0 if it does not. */
  public long endpointWaitsMs(long nowMs) {
    return endpointWaitsSinceMs == NONE ? 0 : nowMs - endpointWaitsSinceMs;
  }

  /**
   * Records until when the caller waits for its answer; it still does after the host has the whole
   * answer.
   *
   * @param atMs the time by the host's clock, in milliseconds
   */
  public void answerDue(long atMs) {
    dueMs = atMs;
  }

  /** Returns how long the caller still waits for its answer, in ms; 0 if it is not known to. */
  public long leftMs(long nowMs) {
    return dueMs == NONE ? 0 : Math.max(0, dueMs - nowMs);
  }

  /** Adds bytes of a stream that are queued for the caller; negative ones have been written. */
  public void queued(long bytes) {
    unwrittenBytes += bytes;
  }

  /** Returns the bytes of the stream that the operating system has not accepted yet. */
  long unwrittenBytes() {
    return unwrittenBytes;
  }

  /** Adds bytes, which may be negative, and returns the bytes added: 0 after the end. */
  long add(long bytes) {
    if (ended) {
      return 0;
    }
    keptBytes += bytes;
    return bytes;
  }

  /** Ends the request and returns the bytes that are no longer kept. */
  long end() {
    long released = keptBytes;
    keptBytes = 0;
    ended = true;
    bodyBlockedSinceMs = NONE;
    endpointWaitsSinceMs = NONE;
    return released;
  }
}
