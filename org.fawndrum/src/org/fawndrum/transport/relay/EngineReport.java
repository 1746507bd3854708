// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.Set;
import org.fawndrum.state.Endpoint;

/**
 * State that an engine reports about itself, a few hundred milliseconds old on arrival. Immutable.
 *
 * @param hasDetails whether the report has content; if not, it only shows that the engine is alive
 * @param incarnation the incarnation that reported; {@link Endpoint#UNKNOWN_INCARNATION} if unknown
 * @param waitingRequests the number of requests that wait for execution on the engine
 * @param ticketsInUse the tickets of memory reserved on the engine that a request in execution uses
 */
public record EngineReport(
    boolean hasDetails, long incarnation, long waitingRequests, Set<String> ticketsInUse) {
  /** Report of an engine that is alive and reports no details. */
  public static final EngineReport EMPTY =
      new EngineReport(false, Endpoint.UNKNOWN_INCARNATION, 0, Set.of());

  /** Creates the report of an engine that reported details. */
  public EngineReport(long incarnation, long waitingRequests, Set<String> ticketsInUse) {
    this(true, incarnation, waitingRequests, Set.copyOf(ticketsInUse));
  }
}
