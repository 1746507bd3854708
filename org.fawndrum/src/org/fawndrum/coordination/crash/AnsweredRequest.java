// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

/**
 * A suspected request that was answered by an endpoint that did not crash.
 *
 * @param request the request
 * @param atMs when its answer was complete, in milliseconds of this host's clock
 */
public record AnsweredRequest(RequestFingerprint request, long atMs) {}
