// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

/**
 * Decides from engines' reports whether a request may still use the memory that was set aside for
 * it. Memory is used from the moment at which the request has its turn at its own engine; before
 * that it lies unused and is needed all the same. Confined to one event loop.
 */
final class MemoryUse {
  /**
   * How long memory is kept for a request that waits for its turn, in milliseconds: operators allow
   * it to lie unused for 9 s, and to end the attempt takes up to 2 s.
   */
  static final long LONGEST_WAIT_MS = 6_500;

  private boolean begun;

  /** Takes note that the request has had its turn. */
  void begun() {
    begun = true;
  }

  /**
   * Tells whether the request may still use its memory.
   *
   * @param reader the report of the engine that the request was sent to
   * @param holder the report of an engine that holds memory for it
   * @param ticket the name of that memory
   * @param heldMs how long the memory has been set aside, in milliseconds
   */
  boolean possible(EngineReport reader, EngineReport holder, String ticket, long heldMs) {
    if (!holder.told()) {
      return true;
    }
    if (holder.usedMemory().contains(ticket)) {
      begun = true;
      return true;
    }
    // What was used and is not any more has ended; what had no turn yet must wait somewhere.
    boolean maybeWaits = !reader.told() || reader.waiting() > 0;
    return !begun && maybeWaits && heldMs < LONGEST_WAIT_MS;
  }
}
