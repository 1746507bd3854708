// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.engine;

import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.RequestAims;

/**
 * One piece of work at one endpoint.
 *
 * @param id unique over all daemons
 * @param endpoint where it is
 * @param promptTokens the length of the whole prompt
 * @param memoryTokens the cache memory that it may take there, in tokens
 * @param parts how many engines share the reading of the prompt, at least 1
 * @param writes whether the answer is written there
 * @param aims what its caller expects
 * @param sentMs when it was sent, in milliseconds of the host's clock
 */
public record EngineJob(
    long id,
    HostIdentity endpoint,
    long promptTokens,
    long memoryTokens,
    int parts,
    boolean writes,
    RequestAims aims,
    long sentMs) {}
