// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import org.fawndrum.state.Endpoint;

/** Makes what decisions know of endpoints, for tests of the packages below. */
public final class TestEndpoints {
  private TestEndpoints() {}

  /** Returns the state of an endpoint that nothing has been sent to. */
  public static EndpointState state(Endpoint endpoint) {
    return new EndpointState(endpoint, 1, new EndpointRests());
  }
}
