// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.fawndrum.coordination.limit.EndpointPermits;
import org.fawndrum.coordination.limit.EndpointRateLimits.Statement;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.EndpointKind;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.junit.jupiter.api.Test;

/** A request that was placed is not sent if a restriction arose since. */
class EndpointRestrictionsTest {
  private static final Endpoint ENDPOINT =
      new Endpoint(
          new HostIdentity("e-1", 1),
          "zone-a",
          EndpointKind.MODEL,
          new HostAddress("127.0.0.1", 9_000),
          Set.of("pool"),
          1_000);

  private final EndpointRestrictions restrictions = new EndpointRestrictions();

  private AttemptEvent obstacleAt(long nowMs) {
    return restrictions.obstacle(ENDPOINT, EndpointPermits.NO_PERMIT, nowMs);
  }

  @Test
  void nothingKeepsRequestsAwayAtFirst() {
    assertNull(obstacleAt(0));
  }

  @Test
  void drainedZoneGetsNothingUntilItIsTakenBack() {
    assertTrue(restrictions.drainedZones().replace(Set.of("zone-a", "zone-b")));
    assertEquals(AttemptEvent.ZONE_DRAINED, obstacleAt(0));
    assertFalse(restrictions.drainedZones().replace(Set.of("zone-b", "zone-a")));
    assertTrue(restrictions.drainedZones().replace(Set.of("zone-b")));
    assertNull(obstacleAt(0));
  }

  @Test
  void requestedBackoffLastsAsLongAsRequested() {
    restrictions.backoffs().requested(ENDPOINT.identity(), 100, 0);
    assertEquals(AttemptEvent.ENDPOINT_BACKOFF, obstacleAt(99));
    assertNull(obstacleAt(100));
  }

  @Test
  void endpointWithARateNeedsAPermitThatIsStillValid() {
    restrictions.rateLimits().answered(new Statement("e-1", 2, 0, 10));
    assertEquals(AttemptEvent.ENDPOINT_LIMITED, obstacleAt(20));
    assertNull(restrictions.obstacle(ENDPOINT, 20, 20));
    assertEquals(AttemptEvent.ENDPOINT_LIMITED, restrictions.obstacle(ENDPOINT, 20, 21));
  }
}
