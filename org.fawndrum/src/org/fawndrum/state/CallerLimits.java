// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

/**
 * Size and time limits for the requests and connections of callers.
 *
 * @param maxHeaderBytes maximum size of a request's headers, in bytes
 * @param maxBodyBytes maximum size of a request's body, in bytes
 * @param headerTimeoutMs maximum time for a request to arrive, in milliseconds
 * @param idleTimeoutMs maximum idle time of a connection between requests, in milliseconds
 */
public record CallerLimits(
    long maxHeaderBytes, long maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {}
