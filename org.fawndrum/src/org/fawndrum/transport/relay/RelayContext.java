// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import org.fawndrum.internal.log.HostLog;
import org.fawndrum.transport.HostClock;

/**
 * The components that every relayed request uses.
 *
 * @param paths the ways to endpoints
 * @param proofs prove that endpoints go on
 * @param codec reads and writes the headers of callers and endpoints
 * @param engineControl sends control requests to engines
 * @param notices what endpoints stated in their answers
 * @param stallWatch detects stalled attempts
 * @param clock the host's clock
 * @param decisionLog logs events of requests
 * @param log receives other log events
 */
record RelayContext(
    EndpointPaths paths,
    LivenessProofs proofs,
    RelayCodec codec,
    EngineControl engineControl,
    EndpointNotices notices,
    StallWatch stallWatch,
    HostClock clock,
    DecisionLog decisionLog,
    HostLog log) {}
