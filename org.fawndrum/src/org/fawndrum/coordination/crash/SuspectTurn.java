// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

import org.fawndrum.state.HostIdentity;

/**
 * A host's notice that it sends a suspected request next. The others keep theirs until it is over.
 *
 * @param request which request
 * @param host the host that sends it
 * @param atMs since when, in milliseconds of this host's clock
 */
public record SuspectTurn(RequestFingerprint request, HostIdentity host, long atMs) {}
