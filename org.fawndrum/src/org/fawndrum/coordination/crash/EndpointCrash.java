// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.HostIdentity;

/**
 * An endpoint that crashed while it had requests.
 *
 * @param endpoint the incarnation that crashed
 * @param lastSentMs when the last of these requests was sent to it, as far as known
 * @param atMs when a host observed the crash, in milliseconds of this host's clock
 * @param requests the requests that it had, as far as known
 * @param parts the parts of the prompts of those requests to which no answer had begun, or only
 *     just: only these may be the cause
 */
public record EndpointCrash(
    HostIdentity endpoint,
    long lastSentMs,
    long atMs,
    Set<RequestFingerprint> requests,
    Set<RequestFingerprint> parts) {
  /**
   * Tolerance when the time of sending is compared with the time of a crash, in milliseconds. Times
   * of other hosts are transmitted as ages, to which the transport adds 10 to 50 ms. An endpoint is
   * down for longer than this tolerance.
   */
  private static final long TIME_TOLERANCE_MS = 400;

  /** Copies the sets to make the crash immutable. */
  public EndpointCrash {
    requests = Set.copyOf(requests);
    parts = Set.copyOf(parts);
  }

  /** Creates a crash under requests whose prompts share no parts. */
  public EndpointCrash(
      HostIdentity endpoint, long lastSentMs, long atMs, Set<RequestFingerprint> requests) {
    this(endpoint, lastSentMs, atMs, requests, Set.of());
  }

  /** Returns the same crash with other requests and parts. */
  EndpointCrash under(Set<RequestFingerprint> otherRequests, Set<RequestFingerprint> otherParts) {
    return new EndpointCrash(endpoint, lastSentMs, atMs, otherRequests, otherParts);
  }

  /** Returns the same crash without a request or a part. */
  EndpointCrash without(RequestFingerprint innocent) {
    return under(minus(requests, innocent), minus(parts, innocent));
  }

  private static Set<RequestFingerprint> minus(
      Set<RequestFingerprint> all, RequestFingerprint removed) {
    return all.stream().filter(one -> !one.equals(removed)).collect(Collectors.toSet());
  }

  /** Returns whether a request or a part may be the cause. */
  boolean isUnder(RequestFingerprint suspect) {
    return requests.contains(suspect) || parts.contains(suspect);
  }

  /**
   * Returns whether another report describes the same crash: it is of the same endpoint, and
   * neither report has a request that was sent after the crash of the other. An endpoint with such
   * a request had already restarted, even if its new incarnation is not known yet. Without this
   * condition, two requests that alternately crash an endpoint would be recorded under each other's
   * crashes and could not be told apart.
   *
   * <p>An incarnation crashes once, however late a host learns of it. Only for endpoints that
   * report no incarnation are crashes told apart by their time.
   *
   * @param withinMs the maximum time between two reports of one crash if the incarnation does not
   *     tell them apart
   */
  boolean isSameCrash(EndpointCrash other, long withinMs) {
    if (!endpoint.host().equals(other.endpoint.host()) || isSeparatedByRequest(other)) {
      return false;
    }
    if (endpoint.incarnation() != other.endpoint.incarnation()) {
      return isEarlierIncarnation(other)
          ? mayBeCrashOf(other, withinMs)
          : other.mayBeCrashOf(this, withinMs);
    }
    boolean hasIncarnation = endpoint.incarnation() != Endpoint.UNKNOWN_INCARNATION;
    return hasIncarnation || Math.abs(atMs - other.atMs) <= withinMs;
  }

  /**
   * Returns whether a received report contains nothing new: it is of the same incarnation, has no
   * further requests, and spans the same time. Each hop shifts both times by the transport delay,
   * so only their difference tells a delayed copy from another crash.
   */
  boolean covers(EndpointCrash report) {
    return endpoint.equals(report.endpoint)
        && requests.containsAll(report.requests)
        && parts.containsAll(report.parts)
        && atMs - lastSentMs == report.atMs - report.lastSentMs;
  }

  private boolean isSeparatedByRequest(EndpointCrash other) {
    return lastSentMs > other.atMs + TIME_TOLERANCE_MS
        || other.lastSentMs > atMs + TIME_TOLERANCE_MS;
  }

  private boolean isEarlierIncarnation(EndpointCrash other) {
    return endpoint.incarnation() < other.endpoint.incarnation();
  }

  /**
   * Returns whether this crash, recorded under an earlier incarnation, may be that of a later one.
   * A host that only knows the earlier incarnation may have sent its request to the later one, and
   * may learn of the crash late, but not before it happened.
   */
  private boolean mayBeCrashOf(EndpointCrash later, long withinMs) {
    return later.atMs <= atMs + withinMs;
  }

  /**
   * Merges another report of the same crash: takes the later incarnation and the earlier time of
   * the crash. The time of sending is limited to the time of the crash, because otherwise the
   * result would not be recognized as the crash that other hosts report.
   */
  EndpointCrash mergedWith(EndpointCrash other) {
    long crashedMs = Math.min(atMs, other.atMs);
    return new EndpointCrash(
        isEarlierIncarnation(other) ? other.endpoint : endpoint,
        Math.min(Math.max(lastSentMs, other.lastSentMs), crashedMs),
        crashedMs,
        union(requests, other.requests),
        union(parts, other.parts));
  }

  private static Set<RequestFingerprint> union(
      Set<RequestFingerprint> one, Set<RequestFingerprint> other) {
    return Stream.concat(one.stream(), other.stream()).collect(Collectors.toSet());
  }
}
