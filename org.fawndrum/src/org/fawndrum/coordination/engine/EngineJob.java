// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.engine;

import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.LatencyTargets;

/**
 * One job at one endpoint.
 *
 * @param id unique over all daemons
 * @param endpoint the endpoint
 * @param promptTokens the length of the whole prompt
 * @param memoryTokens the maximum cache memory that it uses there, in tokens
 * @param segments the number of engines that share the prefill of the prompt, at least 1
 * @param decodes whether the answer is generated there
 * @param latencyTargets the latency targets of its caller
 * @param sentMs when it was sent, in milliseconds of the host's clock
 */
public record EngineJob(
    long id,
    HostIdentity endpoint,
    long promptTokens,
    long memoryTokens,
    int segments,
    boolean decodes,
    LatencyTargets latencyTargets,
    long sentMs) {}
