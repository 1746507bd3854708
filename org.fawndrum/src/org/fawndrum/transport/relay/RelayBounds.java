// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

/**
 * Limits that operators guarantee or permit.
 *
 * @param keysNeedProof whether a host rejects requests with a key once it can no longer prove that
 *     no newer configuration revoked the key; otherwise it continues with the last configuration
 *     that it knows
 * @param revokeMs how long after the last such proof it starts to reject them, in milliseconds
 * @param applyMs how long after the store accepted a configuration a host may still use an older
 *     one, in milliseconds
 * @param drainMs how long after the start of its shutdown an endpoint may still receive new work,
 *     in milliseconds
 * @param graceMs the time between the stop signal and the kill, in milliseconds
 * @param retryRatio permitted retries in proportion to the requests of a service
 * @param retrySlack permitted retries in addition to that, over all hosts
 * @param retryWindowMs the window over which the two are counted, in milliseconds
 * @param streamPassMs the time within which a stream event must be forwarded, in milliseconds
 */
public record RelayBounds(
    boolean keysNeedProof,
    long revokeMs,
    long applyMs,
    long drainMs,
    long graceMs,
    double retryRatio,
    double retrySlack,
    long retryWindowMs,
    long streamPassMs) {}
