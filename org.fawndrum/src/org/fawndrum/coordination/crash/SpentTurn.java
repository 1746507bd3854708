// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

import org.fawndrum.state.HostIdentity;

/**
 * How often a host ran a suspected request in a turn of its own that brought neither an answer nor
 * an end that a host could prove, such as at an endpoint behind a harmed connection.
 *
 * @param request which request
 * @param host the host that ran it
 * @param turns in how many turns so far
 * @param atMs when the last of these began, in milliseconds of this host's clock
 */
public record SpentTurn(RequestFingerprint request, HostIdentity host, int turns, long atMs) {}
