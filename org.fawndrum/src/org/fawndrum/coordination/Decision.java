// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.List;
import java.util.Optional;
import org.fawndrum.state.CallerGroup;
import org.fawndrum.state.CellKey;

/**
 * A decision on a request with its reason. Feeds the live watch, the log and the histograms.
 *
 * @param requestId the request
 * @param group its caller group
 * @param target the model or service requested
 * @param promptTokens the prompt's length in tokens
 * @param atMs the time of the decision, in milliseconds of the host's clock
 * @param sinceArrivalMs the time since the request arrived, in milliseconds
 * @param kind what was decided
 * @param reason why it was decided
 * @param endpoint the endpoint concerned, if any
 * @param attempt the number of the attempt concerned, 0 for none
 * @param cell the table cell that decided, if any
 * @param refusal the final answer if the request was refused
 * @param passedOver endpoints considered and not chosen, at most three
 * @param prefill how the prompt is prefilled, for a placement or a first token
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
    List<PassedOverEndpoint> passedOver,
    Optional<Prefill> prefill) {}
