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
  private static final long NEWS_MS = 400;

  /** Copies the set, so that the crash cannot change. */
  public EndpointCrash {
    under = Set.copyOf(under);
  }

  /** Returns the same with other requests. */
  EndpointCrash with(Set<RequestFingerprint> others) {
    return new EndpointCrash(endpoint, takenMs, atMs, others);
  }

  /**
   * Tells whether another report is of the same end: of one endpoint, and neither had taken a
   * request after the end of the other. One that had was back by then, whatever is known yet of its
   * new start; else two requests that end endpoints in turn would stand under each other's ends,
   * and could not be told apart. A start ends once, however late a host learns that it is over;
   * only endpoints that tell no start have ends that are told apart by their time.
   *
   * @param withinMs how long two ends of an endpoint are apart at least, where its start does not
   *     tell them apart
   */
  boolean isTheEndOf(EndpointCrash other, long withinMs) {
    if (!endpoint.host().equals(other.endpoint.host()) || isInTurnWith(other)) {
      return false;
    }
    if (endpoint.incarnation() != other.endpoint.incarnation()) {
      return isOfEarlierStart(other)
          ? mayEndWith(other, withinMs)
          : other.mayEndWith(this, withinMs);
    }
    boolean tellsStart = endpoint.incarnation() != Endpoint.START_NOT_TOLD;
    return tellsStart || Math.abs(atMs - other.atMs) <= withinMs;
  }

  /**
   * Tells whether a report that was told says nothing new: it is of the same start, names no other
   * request and spans the same time. Each telling shifts its times by the way of the news, so that
   * their difference alone tells a late copy from another end.
   */
  boolean covers(EndpointCrash told) {
    return endpoint.equals(told.endpoint)
        && under.containsAll(told.under)
        && atMs - takenMs == told.atMs - told.takenMs;
  }

  private boolean isInTurnWith(EndpointCrash other) {
    return takenMs > other.atMs + NEWS_MS || other.takenMs > atMs + NEWS_MS;
  }

  private boolean isOfEarlierStart(EndpointCrash other) {
    return endpoint.incarnation() < other.endpoint.incarnation();
  }

  /**
   * Tells whether this end, filed under an earlier start, may be that of a later one. Who believes
   * in an earlier start may have sent its request to a later one, and may learn of the end late,
   * but not before it.
   */
  private boolean mayEndWith(EndpointCrash later, long withinMs) {
    return later.atMs <= atMs + withinMs;
  }

  /**
   * Returns this end with what another report of it says: the later start, the earlier time. It
   * took nothing after that time; else it would not be the same end as what others tell of it.
   */
  EndpointCrash and(EndpointCrash other, Set<RequestFingerprint> all) {
    long endedMs = Math.min(atMs, other.atMs);
    return new EndpointCrash(
        isOfEarlierStart(other) ? other.endpoint : endpoint,
        Math.min(Math.max(takenMs, other.takenMs), endedMs),
        endedMs,
        all);
  }
}
