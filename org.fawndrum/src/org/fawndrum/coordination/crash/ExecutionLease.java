// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

import org.fawndrum.state.HostIdentity;

/**
 * The announcement of a host that it sends a suspected request next. Other hosts do not send it
 * until the lease has ended.
 *
 * @param request the request
 * @param host the host that sends it
 * @param atMs when the lease began, in milliseconds of this host's clock
 */
public record ExecutionLease(RequestFingerprint request, HostIdentity host, long atMs) {}
