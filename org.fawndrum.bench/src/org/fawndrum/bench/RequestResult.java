// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.bench;

import org.fawndrum.coordination.RefusalKind;

/**
 * The outcome of one request.
 *
 * @param arrival the request
 * @param firstTokenMs time to first token in milliseconds; -1 if there was none
 * @param finished whether the answer was complete
 * @param endMs completion time, in milliseconds of virtual time
 * @param refusal the kind of refusal, or null
 * @param attempts the number of attempts sent to engines
 */
public record RequestResult(
    Arrival arrival,
    long firstTokenMs,
    boolean finished,
    long endMs,
    RefusalKind refusal,
    int attempts) {}
