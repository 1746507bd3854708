// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.vertx.core.Future;
import org.fawndrum.state.Endpoint;

/**
 * Orders to engines about their cache memory, and the question how they are. Futures complete on
 * the caller's event loop.
 */
public interface EngineOrders {
  /**
   * Chooses who hears what engines say about themselves in their answers. Called before the first
   * order; until then nobody does.
   */
  void hearNotices(EndpointNotices listener);

  /**
   * Sets memory aside for a time, or prolongs that time. Gives false when the engine has not enough
   * free; fails when it does not answer in time, and may have done it then.
   *
   * @param ticket names the memory; unique over all daemons and times
   * @param tokens how much
   * @param holdMs for how long, in milliseconds from the arrival of the order
   */
  Future<Boolean> reserve(Endpoint engine, String ticket, long tokens, long holdMs);

  /** Frees memory that was set aside. */
  Future<Void> release(Endpoint engine, String ticket);

  /** Asks an engine for its report, a sign of life in any case; fails when none comes in time. */
  Future<EngineReport> report(Endpoint engine);
}
