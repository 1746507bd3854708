// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import org.fawndrum.coordination.limit.EndpointPermits;
import org.fawndrum.coordination.limit.EndpointRateLimits;
import org.fawndrum.state.Endpoint;

/** Creates endpoint states for tests of the subpackages. */
public final class TestEndpoints {
  private TestEndpoints() {}

  /** Returns the state of an endpoint without any attempts sent to it. */
  public static EndpointState state(Endpoint endpoint) {
    return new EndpointState(
        endpoint, 1, new RequestedBackoffs(), new EndpointPermits(new EndpointRateLimits()));
  }
}
