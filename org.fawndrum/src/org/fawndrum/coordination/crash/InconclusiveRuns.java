// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

import org.fawndrum.state.HostIdentity;

/**
 * The number of times that a host ran a suspected request under a lease with neither an answer nor
 * a crash that a host could prove, for example at an endpoint behind a faulty connection.
 *
 * @param request the request
 * @param host the host that ran it
 * @param count the number of such runs so far
 * @param lastStartedMs when the lease of the last of these runs began, in milliseconds of this
 *     host's clock
 */
public record InconclusiveRuns(
    RequestFingerprint request, HostIdentity host, int count, long lastStartedMs) {}
