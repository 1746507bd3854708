// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import org.fawndrum.coordination.Action;
import org.fawndrum.coordination.Refusal;

/**
 * The I/O side of one request. Confined to the event loop of the caller's connection: all methods
 * but {@link #runOnLoop} must be called on that loop.
 */
public interface Exchange {
  /** Sends the request to an endpoint. */
  void send(Action.Send send);

  /** Cancels an attempt and frees its resources on the endpoint. */
  void cancel(Action.Cancel cancel);

  /**
   * Asks the endpoint of an attempt whether it goes on. Not called, and without effect, where the
   * contents of requests are not compared.
   */
  default void askEndpoint(Action.AskEndpoint ask) {}

  /** Answers the caller with a refusal. */
  void refuse(Refusal refusal);

  /** Runs {@code step} on the event loop of this exchange. May be called from any thread. */
  void runOnLoop(Runnable step);

  /** Returns whether any attempt may have sent part of the request. */
  boolean anyRequestSent();
}
