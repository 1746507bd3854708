// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import io.vertx.core.Future;
import org.fawndrum.state.Endpoint;

/**
 * Controls reserved cache memory of engines and requests their reports. Futures complete on the
 * caller's event loop.
 */
public interface EngineControl {
  /**
   * Sets the listener for notices in engines' responses. Called before the first request; without a
   * listener, notices are discarded.
   */
  void setNoticeListener(EndpointNoticeListener listener);

  /**
   * Sets the ways to engines. Called before the first request; without them, only this host's own
   * links are used.
   */
  void setPaths(EndpointRequests paths);

  /**
   * Reserves memory for a time, or extends a reservation. Returns false if the engine does not have
   * enough free memory. Fails if the engine does not answer in time; the reservation may have been
   * made nevertheless.
   *
   * @param ticket identifies the memory; unique over all daemons and times
   * @param tokens the size of the memory
   * @param holdMs how long the memory is reserved, in milliseconds from the arrival of the request
   */
  Future<Boolean> reserve(Endpoint engine, String ticket, long tokens, long holdMs);

  /** Releases reserved memory. */
  Future<Void> release(Endpoint engine, String ticket);

  /** Requests an engine's report; any answer is a sign of life. Fails if none arrives in time. */
  Future<EngineReport> report(Endpoint engine);
}
