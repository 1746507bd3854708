// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.membership;

import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;

/**
 * What a heartbeat says of its sender.
 *
 * @param identity the sender's incarnation
 * @param zone its availability zone
 * @param address where it listens for peers
 * @param sequence grows with each heartbeat of the incarnation
 * @param tableRevision the table revision in force there
 * @param tablePosition the log position replayed there
 * @param listingVersion the version of the host list there
 * @param draining whether it is being stopped
 * @param waitingTokens work that waits there, in tokens
 * @param runningRequests requests in progress there
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
