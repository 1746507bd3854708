// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

import java.util.List;

/**
 * A request that is rejected because endpoints crash under it.
 *
 * @param request the request
 * @param sinceMs when it was rejected, in milliseconds of this host's clock
 * @param endpoints the names of the endpoints that crashed under it before
 */
public record RejectedRequest(RequestFingerprint request, long sinceMs, List<String> endpoints) {
  /** Copies the list to make the record immutable. */
  public RejectedRequest {
    endpoints = List.copyOf(endpoints);
  }
}
