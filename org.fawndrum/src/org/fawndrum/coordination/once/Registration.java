// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.once;

import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;

/**
 * A record in the log: a daemon incarnation that may run requests that must not be repeated.
 *
 * @param identity the incarnation
 * @param zone its availability zone
 * @param peerAddress where peers send it claim requests
 * @param retired whether it has shut down for good and handed its claims over
 */
public record Registration(
    HostIdentity identity, String zone, HostAddress peerAddress, boolean retired) {}
