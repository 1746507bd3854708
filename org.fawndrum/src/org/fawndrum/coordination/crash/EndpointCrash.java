// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

import java.util.Set;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.HostIdentity;

/**
 * An endpoint that ended while it had requests.
 *
 * @param endpoint the start of the endpoint that is over
 * @param takenMs when it last took one of these requests, as far as is known
 * @param atMs when a host saw it, in milliseconds of this host's clock
 * @param under the requests that it had, as far as is known
 */
public record EndpointCrash(
    HostIdentity endpoint, long takenMs, long atMs, Set<RequestFingerprint> under) {
  /**
   * By how much a request may seem to have been taken too late, in milliseconds: times of other
   * hosts come as ages, to which the way of the news adds 10 to 50 ms. Endpoints are gone for
   * longer.
   */
  private static final long NEWS_MS = 200;

  /** Copies the set, so that the crash cannot change. */
  public EndpointCrash {
    under = Set.copyOf(under);
  }

  /** Returns the same with other requests. */
  EndpointCrash with(Set<RequestFingerprint> others) {
    return new EndpointCrash(endpoint, takenMs, atMs, others);
  }

  /**
   * Tells whether another report is of the same end: of one start, and neither had taken a request
   * after the end of the other. One that had was back by then, whatever is known yet of its new
   * start; else two requests that end endpoints in turn would stand under each other's ends, and
   * could not be told apart. A start ends once, however late a host learns that it is over; only
   * endpoints that tell no start have ends that are told apart by their time.
   *
   * @param withinMs how long two ends of an endpoint that tells no start are apart
   */
  boolean isTheEndOf(EndpointCrash other, long withinMs) {
    boolean inTurn = takenMs > other.atMs + NEWS_MS || other.takenMs > atMs + NEWS_MS;
    boolean tellsStart = endpoint.incarnation() != Endpoint.START_NOT_TOLD;
    boolean sameTime = tellsStart || Math.abs(atMs - other.atMs) <= withinMs;
    return endpoint.equals(other.endpoint) && sameTime && !inTurn;
  }
}
