// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import org.fawndrum.coordination.limit.EndpointRateLimits;

/**
 * State that an endpoint reports about itself in the headers of a response. Immutable.
 *
 * @param draining whether the endpoint is shutting down: it answers for a while and then terminates
 * @param backoffMs how long this host should send nothing to the endpoint, in milliseconds; 0 if
 *     the endpoint requested no backoff
 * @param requestsPerSecond how many requests a second the endpoint accepts from all hosts together;
 *     {@link EndpointRateLimits#UNLIMITED} if it named no rate, NaN if the rate is unreadable
 * @param startingMs how long the endpoint still accepts less because it has started lately, in
 *     milliseconds; 0 if it did not say so
 */
public record EndpointNotice(
    boolean draining, long backoffMs, double requestsPerSecond, long startingMs) {
  /** No state was reported. */
  public static final EndpointNotice NONE = new EndpointNotice(false, 0);

  /** Creates a notice that names no rate and no start. */
  public EndpointNotice(boolean draining, long backoffMs) {
    this(draining, backoffMs, EndpointRateLimits.UNLIMITED, 0);
  }
}
