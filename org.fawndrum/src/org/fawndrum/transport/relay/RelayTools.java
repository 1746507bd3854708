// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import org.fawndrum.coordination.EndpointRests;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.transport.HostClock;

/**
 * What every relayed request needs on its way.
 *
 * @param client the connections to endpoints
 * @param codec knows the messages of callers and endpoints
 * @param orders sends orders to engines
 * @param rests the endpoints that want nothing from this host for a while
 * @param notices hears what endpoints say about themselves
 * @param stalls ends attempts from which nothing comes
 * @param clock the host's clock
 * @param decisions where lines about requests go
 * @param log where other events go
 */
record RelayTools(
    EndpointClient client,
    RelayCodec codec,
    EngineOrders orders,
    EndpointRests rests,
    EndpointNotices notices,
    StallWatch stalls,
    HostClock clock,
    DecisionLog decisions,
    HostLog log) {}
