// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.List;
import java.util.Optional;
import org.fawndrum.state.CallerGroup;
import org.fawndrum.state.CellKey;

/**
 * One decision with its reason; the live watch, the log and the histograms are fed from it.
 *
 * @param requestId the request
 * @param group its caller group
 * @param target what it asks for
 * @param promptTokens the prompt's length in tokens
 * @param atMs when, in milliseconds of the host's clock
 * @param sinceArrivalMs milliseconds since the request arrived
 * @param kind what was decided
 * @param reason why
 * @param endpoint the endpoint concerned, if any
 * @param attempt the number of the attempt concerned, 0 for none
 * @param cell the cell of the table that decided, if one did
 * @param refusal the final answer, if this is one
 * @param passedOver the nearest endpoints that were not chosen, at most three
 * @param reading how the prompt is read, if this is its placement or its first token
 */
public record Decision(
    String requestId,
    CallerGroup group,
    RequestTarget target,
    long promptTokens,
    long atMs,
    long sinceArrivalMs,
    DecisionKind kind,
    Reason reason,
    Optional<String> endpoint,
    int attempt,
    Optional<CellKey> cell,
    Optional<Refusal> refusal,
    List<PassedOver> passedOver,
    Optional<Reading> reading) {}
