// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.Set;
import org.fawndrum.state.Endpoint;

/**
 * State that an engine reports about itself, a few hundred milliseconds old on arrival. Immutable.
 *
 * @param told whether the report has content; if not, it only shows that the engine is alive
 * @param incarnation the incarnation that reported; {@link Endpoint#START_NOT_TOLD} if unknown
 * @param waiting the number of requests that wait for execution on the engine
 * @param usedMemory the tickets of memory reserved on the engine that a request in execution uses
 */
public record EngineReport(boolean told, long incarnation, long waiting, Set<String> usedMemory) {
  /** Report of an engine that is alive and reports no details. */
  public static final EngineReport NOTHING =
      new EngineReport(false, Endpoint.START_NOT_TOLD, 0, Set.of());

  /** Creates the report of an engine that reported details. */
  public EngineReport(long incarnation, long waiting, Set<String> usedMemory) {
    this(true, incarnation, waiting, Set.copyOf(usedMemory));
  }
}
