// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.membership;

import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;

/**
 * The content of a heartbeat.
 *
 * @param identity the sender's incarnation
 * @param zone its availability zone
 * @param address where it listens for peers
 * @param sequence increases with each heartbeat of the incarnation
 * @param tableRevision the table revision in force there
 * @param tablePosition the log position replayed there
 * @param listingVersion the version of the host list there
 * @param draining whether it is shutting down
 * @param waitingTokens the tokens of the requests that wait there
 * @param runningRequests the number of requests in progress there
 */
public record PeerFacts(
    HostIdentity identity,
    String zone,
    HostAddress address,
    long sequence,
    long tableRevision,
    long tablePosition,
    long listingVersion,
    boolean draining,
    long waitingTokens,
    long runningRequests) {}
