// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

/**
 * Decides from engines' reports whether a request may still use its reserved memory. The memory is
 * in use from the start of the request's execution on its own engine; before that it is unused but
 * needed all the same. Confined to one event loop.
 */
final class MemoryUseTracker {
  /**
   * How long memory is kept for a request that waits for execution, in milliseconds: operators
   * allow it to be unused for 9 s, and ending the attempt takes up to 2 s.
   */
  static final long MAX_UNUSED_MS = 6_500;

  private boolean started;

  /** Records that the execution of the request has started. */
  void recordStart() {
    started = true;
  }

  /**
   * Returns whether the request may still use its memory.
   *
   * @param requestEngine the report of the engine that the request was sent to
   * @param helper the report of a helper engine on which memory is reserved for the request
   * @param ticket identifies that memory
   * @param heldMs how long the memory has been reserved, in milliseconds
   */
  boolean mayBeInUse(EngineReport requestEngine, EngineReport helper, String ticket, long heldMs) {
    if (!helper.hasDetails()) {
      return true;
    }
    if (helper.ticketsInUse().contains(ticket)) {
      started = true;
      return true;
    }
    // Memory that was in use and no longer is belongs to a completed request. A request that has
    // not started must be waiting somewhere.
    boolean mayBeWaiting = !requestEngine.hasDetails() || requestEngine.waitingRequests() > 0;
    return !started && mayBeWaiting && heldMs < MAX_UNUSED_MS;
  }
}
