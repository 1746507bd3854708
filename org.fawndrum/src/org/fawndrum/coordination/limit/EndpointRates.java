// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.limit;

import java.util.List;

/**
 * How many requests a second endpoints accept now from all hosts together, for a reason that each
 * implementation has. Thread-safe. Times are those of the host's clock, in milliseconds.
 */
public interface EndpointRates {
  /** The rate of an endpoint that has none, in requests a second. */
  double UNLIMITED = Double.POSITIVE_INFINITY;

  /** The end of a rate of which it is not known when it ends, in milliseconds. */
  long UNKNOWN_END_MS = Long.MAX_VALUE;

  /** Returns the requests a second that an endpoint accepts; {@link #UNLIMITED} if any number. */
  double perSecond(String endpoint, long nowMs);

  /** Returns when the rate of a limited endpoint ends; {@link #UNKNOWN_END_MS} if not known. */
  long endMs(String endpoint, long nowMs);

  /** Returns the endpoints that are limited. */
  List<String> limited(long nowMs);

  /** Whether an endpoint accepts only a number of requests a second from all hosts together. */
  default boolean isLimited(String endpoint, long nowMs) {
    return perSecond(endpoint, nowMs) < UNLIMITED;
  }
}
