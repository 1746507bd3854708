// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import org.fawndrum.coordination.AttemptEvent;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.transport.proxy.EndpointAnswer;

/**
 * Receives the progress and the outcome of a {@link RelayAttempt}. Called on the attempt's event
 * loop.
 */
interface AttemptOwner {
  /** Called before the request is written to the connection; bytes may be sent from now on. */
  void handedOver();

  /**
   * Called when the head of the endpoint's answer arrived; returns false if the caller, which has
   * received a part of a stream, cannot get this answer.
   */
  boolean continues(EndpointAnswer head);

  /** Called when the endpoint's complete answer arrived. */
  void answered(RelayAttempt attempt, RelayExchange.FullAnswer answer);

  /** Called when a complete event arrived; returns false if it cannot follow the previous event. */
  boolean eventReceived(RelayAttempt attempt, EventSplitter.StreamEvent event);

  /** Called when the stream completed. */
  void streamCompleted(RelayAttempt attempt);

  /** Called when the attempt was silent for so long that another attempt may replace it. */
  void stalled(RelayAttempt attempt);

  /** Called when the endpoint crashed during the attempt. A call of {@code failed} follows. */
  void endpointCrashed(RelayAttempt attempt);

  /** Called when a helper engine prevented the attempt. A call of {@code failed} follows. */
  void helperRefused(RelayAttempt attempt, HostIdentity helper);

  /** Called when the attempt failed. */
  void failed(RelayAttempt attempt, AttemptEvent event);
}
