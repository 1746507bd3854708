// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.fawndrum.state.HostIdentity;
import org.junit.jupiter.api.Test;

class StutteringEndpointsTest {
  private static final HostIdentity ENDPOINT = new HostIdentity("e-1", 1);
  private static final long AT_MS = 1_000;

  private final StutteringEndpoints endpoints = new StutteringEndpoints();

  @Test
  void anEndpointIsForgottenAfterATime() {
    endpoints.stuttered(ENDPOINT, AT_MS);
    assertTrue(endpoints.isRemembered(ENDPOINT, AT_MS + StutteringEndpoints.REMEMBERED_MS - 1));
    assertFalse(endpoints.isRemembered(ENDPOINT, AT_MS + StutteringEndpoints.REMEMBERED_MS));
  }

  @Test
  void anotherIncarnationIsAnotherEndpoint() {
    endpoints.stuttered(ENDPOINT, AT_MS);
    assertFalse(endpoints.isRemembered(new HostIdentity("e-1", 2), AT_MS));
    assertFalse(endpoints.isRemembered(new HostIdentity("e-2", 1), AT_MS));
  }

  @Test
  void anotherSecondAnswerProlongsTheTime() {
    endpoints.stuttered(ENDPOINT, AT_MS);
    endpoints.stuttered(ENDPOINT, AT_MS + 1);
    assertTrue(endpoints.isRemembered(ENDPOINT, AT_MS + StutteringEndpoints.REMEMBERED_MS));
  }
}
