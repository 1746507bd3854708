// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

/** One run of a request at an endpoint, from arrival to completion. Confined to one event loop. */
final class EndpointRun {
  /** Maximum time that the last bytes of an answer are in transit, in milliseconds. */
  private static final long IN_TRANSIT_MS = 500;

  private boolean open = true;
  private boolean started;
  private boolean impaired;
  private boolean aborted;
  private boolean lostInTransit;
  private long endMs;

  /** Records that the endpoint started to send a successful answer. */
  void responseStarted() {
    started = true;
  }

  /** Whether the endpoint started to send a successful answer. */
  boolean hasResponseStarted() {
    return started;
  }

  /** Records the completion: answer sent, connection closed or endpoint terminated. */
  void complete(long nowMs) {
    if (open) {
      open = false;
      endMs = nowMs;
    }
  }

  /** Records that the endpoint aborted the run by hanging or by closing the connection. */
  void abort(long nowMs) {
    aborted |= open;
    complete(nowMs);
  }

  /** Records that the answer may not arrive, so the host cannot know when the run completed. */
  void markImpaired() {
    impaired = true;
  }

  /** Records that the endpoint crashed; bytes sent just before may not have reached the host. */
  void endpointCrashed(long nowMs) {
    lostInTransit |= !open && nowMs - endMs <= IN_TRANSIT_MS;
  }

  /** Whether the endpoint crashed just after the run had completed. */
  boolean isLostInTransit() {
    return lostInTransit;
  }

  boolean isImpaired() {
    return impaired;
  }

  boolean isAborted() {
    return aborted;
  }

  boolean isOpen() {
    return open;
  }

  /** Returns the completion time in milliseconds; 0 while the run is open. */
  long endMs() {
    return endMs;
  }

  /** Whether the run was still open at a time. */
  boolean isActiveAt(long atMs) {
    return open || endMs >= atMs;
  }
}
