// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.List;
import java.util.Optional;

/**
 * The content of the headers of a caller's request.
 *
 * @param requestId the caller's id for this request
 * @param key the caller's key, if it sent one
 * @param timeoutMs how long the caller waits for the answer, in milliseconds; 0 if it did not
 *     specify it
 * @param promptTokens the length of the prompt in tokens; 0 for a plain request
 * @param maxAnswerTokens the maximum length of the answer in tokens; 0 for a plain request
 * @param prefixes the ids of the prompt segments, in order
 * @param lastEventId the id of the last event that the caller has received; 0 to start from the
 *     beginning
 */
public record RelayRequest(
    String requestId,
    Optional<String> key,
    long timeoutMs,
    long promptTokens,
    long maxAnswerTokens,
    List<Long> prefixes,
    long lastEventId) {
  /** Copies the list, so that the record is immutable. */
  public RelayRequest {
    prefixes = List.copyOf(prefixes);
  }
}
