// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

/**
 * State that an endpoint reports about itself in the headers of a response. Immutable.
 *
 * @param draining whether the endpoint is shutting down: it answers for a while and then terminates
 * @param backoffMs how long this host should send nothing to the endpoint, in milliseconds; 0 if
 *     the endpoint requested no backoff
 */
public record EndpointNotice(boolean draining, long backoffMs) {
  /** No state was reported. */
  public static final EndpointNotice NONE = new EndpointNotice(false, 0);
}
