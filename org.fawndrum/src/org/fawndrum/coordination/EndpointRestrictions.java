// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import org.fawndrum.coordination.limit.EndpointRateLimits;
import org.fawndrum.coordination.limit.EndpointRates;
import org.fawndrum.coordination.limit.LowestRates;
import org.fawndrum.coordination.limit.StartingEndpoints;
import org.fawndrum.state.Endpoint;

/**
 * What keeps requests from endpoints, apart from their load: shared by the thread that places
 * requests and those that send them, because a restriction may arise in between. All parts are
 * thread-safe.
 *
 * @param backoffs the backoffs that endpoints requested of this host
 * @param rateLimits the rates that endpoints accept from all hosts together
 * @param drainedZones the zones that operators have drained
 * @param starts the endpoints that have started lately
 */
public record EndpointRestrictions(
    RequestedBackoffs backoffs,
    EndpointRateLimits rateLimits,
    DrainedZones drainedZones,
    StartingEndpoints starts) {
  /** Creates restrictions of which none is in force. */
  public EndpointRestrictions() {
    this(new RequestedBackoffs(), new EndpointRateLimits(), new DrainedZones());
  }

  /** Creates restrictions of endpoints none of which has started lately. */
  public EndpointRestrictions(
      RequestedBackoffs backoffs, EndpointRateLimits rateLimits, DrainedZones drainedZones) {
    this(backoffs, rateLimits, drainedZones, new StartingEndpoints());
  }

  /** Returns the rates of endpoints, for whatever reason; the lowest counts. */
  public EndpointRates rates() {
    return new LowestRates(rateLimits, starts);
  }

  /**
   * Returns why a request that was placed on an endpoint must not be sent there any more; null if
   * it may be.
   *
   * @param permitEndMs until when it may be sent under its permit
   */
  public AttemptEvent obstacle(Endpoint endpoint, long permitEndMs, long nowMs) {
    if (drainedZones.contains(endpoint.zone())) {
      return AttemptEvent.ZONE_DRAINED;
    }
    if (backoffs.isActive(endpoint.identity(), nowMs)) {
      return AttemptEvent.ENDPOINT_BACKOFF;
    }
    String name = endpoint.name();
    boolean limited = rateLimits.isLimited(name, nowMs) || starts.isLimited(name, nowMs);
    return limited && nowMs > permitEndMs ? AttemptEvent.ENDPOINT_LIMITED : null;
  }

  /** Returns why an engine must not help with a request any more; null if it may. */
  public AttemptEvent helperObstacle(Endpoint helper) {
    return drainedZones.contains(helper.zone()) ? AttemptEvent.ZONE_DRAINED : null;
  }
}
