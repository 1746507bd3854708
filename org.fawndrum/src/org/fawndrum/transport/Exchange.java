// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import org.fawndrum.coordination.Action;
import org.fawndrum.coordination.Refusal;

/**
 * One caller's request on its way, on the caller's event loop. All calls must come on that loop.
 */
public interface Exchange {
  /** Sends the request to an endpoint. */
  void send(Action.Send send);

  /** Ends an attempt and frees what it holds at the endpoint. */
  void cancel(Action.Cancel cancel);

  /** Gives the caller its final answer, which is not a whole one. */
  void refuse(Refusal refusal);

  /** Runs a step on the exchange's event loop. */
  void onLoop(Runnable step);

  /** Tells whether any attempt has handed anything to the network. */
  boolean everHandedOver();
}
