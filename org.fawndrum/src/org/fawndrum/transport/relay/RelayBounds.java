// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

/**
 * Times that operators promise or allow.
 *
 * @param keysNeedProof whether a host refuses requests with a key once it cannot prove any more
 *     that no newer configuration took the key away; otherwise it goes on with the last one it
 *     knows
 * @param revokeMs after how long without such a proof it refuses them, in milliseconds
 * @param drainMs after how long a leaving endpoint must get no new work, in milliseconds
 * @param graceMs the time between the order to stop and the end, in milliseconds
 * @param retryRatio sends beyond the first, in proportion to requests of a service
 * @param retrySlack sends beyond the first that are allowed in any case, over all hosts
 * @param retryWindowMs the window over which the two count, in milliseconds
 * @param streamPassMs how fast an event must be passed on, in milliseconds
 */
public record RelayBounds(
    boolean keysNeedProof,
    long revokeMs,
    long drainMs,
    long graceMs,
    double retryRatio,
    double retrySlack,
    long retryWindowMs,
    long streamPassMs) {}
