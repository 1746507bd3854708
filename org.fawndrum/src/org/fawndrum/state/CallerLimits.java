// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

/**
 * What callers may send, and how long they may take or rest.
 *
 * @param headerBytes the most bytes of a request's headers
 * @param bodyBytes the most bytes of a body
 * @param headerMs the time for a request to arrive, in milliseconds
 * @param idleMs how long a connection may rest between requests, in milliseconds
 */
public record CallerLimits(long headerBytes, long bodyBytes, long headerMs, long idleMs) {}
