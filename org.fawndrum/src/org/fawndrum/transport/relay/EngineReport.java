// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.Set;
import org.fawndrum.state.Endpoint;

/**
 * What an engine tells of itself, a few hundred milliseconds old when it arrives. Immutable.
 *
 * @param told whether it told anything; if not, it lives all the same
 * @param incarnation the start that tells this; {@link Endpoint#START_NOT_TOLD} if it does not say
 * @param waiting how many requests wait for their turn at it
 * @param usedMemory the names of the memory set aside on it that a request uses which had its turn
 */
public record EngineReport(boolean told, long incarnation, long waiting, Set<String> usedMemory) {
  /** Of an engine that lives and tells nothing. */
  public static final EngineReport NOTHING =
      new EngineReport(false, Endpoint.START_NOT_TOLD, 0, Set.of());

  /** Makes the report of an engine that told something. */
  public EngineReport(long incarnation, long waiting, Set<String> usedMemory) {
    this(true, incarnation, waiting, Set.copyOf(usedMemory));
  }
}
