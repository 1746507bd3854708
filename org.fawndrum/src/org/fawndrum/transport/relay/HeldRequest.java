// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import org.fawndrum.coordination.backpressure.HoldLimits;
import org.fawndrum.transport.BodyReader;

/** What this host holds for one request of a caller. Confined to one event loop. */
interface HeldRequest extends BodyReader.Budget {
  /** Returns the limits in force. */
  HoldLimits limits();

  /** Removes bytes that are no longer held. */
  void release(int bytes);

  /** Adds bytes of a stream that are queued for the caller; negative ones have been written. */
  void queued(int bytes);

  /** Called when the endpoint has stopped reading the body of the request, or reads it again. */
  void bodyBlocked(boolean blocked);

  /** Called when the endpoint cannot send because the caller does not read, or can again. */
  void endpointWaits(boolean waits);

  /** Sets until when the caller waits for its answer, by the host's clock, in milliseconds. */
  void answerDue(long atMs);

  /** Ends the request because this host has no memory for its answer. */
  void endForLackOfMemory();
}
