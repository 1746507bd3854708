// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import org.fawndrum.state.Endpoint;

/** Receives what the entries of endpoints say about their starts. Never blocks. */
interface StartListener {
  /**
   * Called for each entry that an endpoint wrote after the one before it.
   *
   * @param remainingMs how long the endpoint still starts; 0 if it has started
   * @return whether hosts that hear only of changed entries must hear of this one
   */
  boolean entryRead(Endpoint endpoint, long remainingMs);
}
