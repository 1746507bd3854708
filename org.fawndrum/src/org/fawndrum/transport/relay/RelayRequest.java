// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.List;
import java.util.Optional;

/**
 * What the headers of a caller's request say.
 *
 * @param requestId the caller's own id for this sending
 * @param key the caller's key, if it sent one
 * @param wantedMs how long the caller waits, in milliseconds; 0 when it does not say
 * @param promptTokens the length of the prompt in tokens; 0 for a plain call
 * @param answerTokens the most tokens of the answer; 0 for a plain call
 * @param prefixes the ids of the prompt's parts, first part first
 * @param lastEventId the id of the last event that the caller has; 0 when it begins
 */
public record RelayRequest(
    String requestId,
    Optional<String> key,
    long wantedMs,
    long promptTokens,
    long answerTokens,
    List<Long> prefixes,
    long lastEventId) {
  /** Copies the list, so that the request cannot change. */
  public RelayRequest {
    prefixes = List.copyOf(prefixes);
  }
}
