// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * For how long engines are silent now before they answer. An endpoint counts as silent by a limit
 * that fits its request; where most endpoints need much of that time, or more, the cause is common
 * to them, and another endpoint would not answer sooner. Silence is told as a part of the limit, so
 * that requests with different limits can be compared. Confined to one thread; times are in
 * milliseconds of the host's clock.
 */
public final class UsualSilence {
  /** The endpoints that count: those that were observed last. */
  static final int ENDPOINTS = 8;

  /** Fewer endpoints tell nothing about the others. */
  static final int MIN_ENDPOINTS = 2;

  /** How long an observation counts, in milliseconds. */
  static final long REMEMBERED_MS = 10_000;

  /** An endpoint may be silent for so many times as long as is usual. */
  static final double TOLERANCE = 2;

  /**
   * The most by which the limit is extended: endpoints that are gone altogether must not hold
   * callers until their deadlines.
   */
  static final double MAX_EXTENSION = 3;

  private final Map<String, Observation> lastByEndpoint = new LinkedHashMap<>();

  /** How long an endpoint was silent last, as a part of the limit. */
  private record Observation(double partOfLimit, long atMs) {}

  /**
   * Records for how long an endpoint was silent until it answered, or until it was given up.
   *
   * @param limitMs the limit of its request, not extended
   */
  public void record(String endpoint, long silentMs, long limitMs, long nowMs) {
    lastByEndpoint.remove(endpoint);
    lastByEndpoint.put(endpoint, new Observation((double) silentMs / limitMs, nowMs));
    if (lastByEndpoint.size() > ENDPOINTS) {
      lastByEndpoint.remove(lastByEndpoint.keySet().iterator().next());
    }
  }

  /** Returns a limit, in milliseconds, extended as far as endpoints are usually late now. */
  public long extended(long limitMs, long nowMs) {
    return limitMs == Long.MAX_VALUE ? limitMs : Math.round(limitMs * extension(nowMs));
  }

  /** Returns whether endpoints are so late now that limits are extended. */
  public boolean isLate(long nowMs) {
    return extension(nowMs) > 1;
  }

  private double extension(long nowMs) {
    lastByEndpoint.values().removeIf(last -> nowMs - last.atMs() > REMEMBERED_MS);
    if (lastByEndpoint.size() < MIN_ENDPOINTS) {
      return 1;
    }
    double[] parts =
        lastByEndpoint.values().stream().mapToDouble(Observation::partOfLimit).toArray();
    Arrays.sort(parts);
    double usual = parts[(parts.length - 1) / 2];
    return Math.max(1, Math.min(MAX_EXTENSION, TOLERANCE * usual));
  }
}
