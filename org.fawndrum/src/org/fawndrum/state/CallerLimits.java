// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

/**
 * Size and time limits for the requests and connections of callers.
 *
 * @param headerBytes maximum size of a request's headers, in bytes
 * @param bodyBytes maximum size of a request's body, in bytes
 * @param headerMs maximum time for a request to arrive, in milliseconds
 * @param idleMs maximum idle time of a connection between requests, in milliseconds
 */
public record CallerLimits(long headerBytes, long bodyBytes, long headerMs, long idleMs) {}
