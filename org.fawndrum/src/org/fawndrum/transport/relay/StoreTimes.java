// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

/**
 * How often a host reads the store and queries its zone leader, and from which age on it no longer
 * relies on what others read. All times follow from the bounds within which it must act on a
 * change, whatever happens to its leader. Immutable.
 *
 * @param bounds the bounds in force
 * @param lateMs for how long a call waits for this host itself, in milliseconds: a late host reads
 *     an answer that arrived in time as much later, and a repeated call would make it later still
 */
record StoreTimes(RelayBounds bounds, long lateMs) {
  /**
   * The part of a bound after which a host reads the store itself. It is above the leader's
   * interval plus that of the queries to the leader; the remainder is for reading.
   */
  private static final double MAX_AGE_FRACTION = 0.7;

  /** The interval at which a zone leader reads the store, as a fraction of a bound. */
  private static final double READ_FRACTION = 0.35;

  /**
   * The part of a bound after which a read that got no answer is sent again over a new connection.
   * With the age at which hosts read it leaves 0.15 for the second one; a store that takes less for
   * an answer is not asked twice.
   */
  private static final double REPEAT_FRACTION = 0.15;

  /**
   * The part of a bound after which a read is given up. With a repetition and the longest pause it
   * is the whole bound, so that within it a host finds out that its path is intact again.
   */
  private static final double ANSWER_FRACTION = 0.5;

  /** The longest pause between two tries to read the store, as a fraction of the shortest bound. */
  private static final double RETRY_FRACTION = 0.35;

  /** How long the store may always take, so that a slow one is read at all, in milliseconds. */
  private static final long MIN_ANSWER_MS = 1_000;

  /** The interval of queries to the zone leader, as a fraction of the shortest bound. */
  private static final double QUERY_FRACTION = 0.25;

  /**
   * The part of a bound after which a host asks any peers as well. It is above the age at which it
   * reads the store itself, so that peers are asked only if that read gets no answer at once.
   */
  private static final double PEERS_FRACTION = 0.75;

  /** The interval of queries to any peers, as a fraction of the shortest bound. */
  private static final double PEERS_QUERY_FRACTION = 0.125;

  /** The part of the limit for revoked keys within which a host must know a revocation. */
  private static final double REVOKE_FRACTION = 0.85;

  /** The shortest of these times, in milliseconds, so that short bounds cause no flood of calls. */
  private static final long MIN_MS = 50;

  /**
   * The longest of the times until a read is repeated, in milliseconds. This and the two that
   * follow limit what a host needs to find out that its path is intact again to 3 s, however large
   * the bounds are.
   */
  private static final long MAX_REPEAT_MS = 500;

  /** The longest of the times until a read is given up, in milliseconds. */
  private static final long MAX_ANSWER_MS = 1_500;

  /** The longest pause between two tries to read the store, in milliseconds. */
  private static final long MAX_RETRY_MS = 1_000;

  /** Creates the times of a host that is in time. */
  StoreTimes(RelayBounds bounds) {
    this(bounds, 0);
  }

  /** Returns the time within which a configuration must be in force, in milliseconds. */
  private double applyMs() {
    return Math.min(bounds.applyMs(), bounds.revokeMs() * REVOKE_FRACTION);
  }

  private static long part(double ms, double fraction) {
    return Math.max(MIN_MS, Math.round(ms * fraction));
  }

  /** Returns the timing of queries for the configuration. */
  TopicFollower.Timing configurationTiming() {
    return timing(applyMs(), part(applyMs(), READ_FRACTION), 0);
  }

  /** Returns the timing of queries for the endpoints. */
  TopicFollower.Timing endpointsTiming() {
    return timing(bounds.drainMs(), 0, part(bounds.drainMs(), READ_FRACTION));
  }

  private TopicFollower.Timing timing(double boundMs, long waitMs, long pauseMs) {
    return new TopicFollower.Timing(
        waitMs,
        pauseMs,
        Math.min(MAX_REPEAT_MS, part(boundMs, REPEAT_FRACTION)) + lateMs,
        Math.min(MAX_ANSWER_MS, Math.max(MIN_ANSWER_MS, part(boundMs, ANSWER_FRACTION))) + lateMs,
        Math.min(MAX_RETRY_MS, part(Math.min(applyMs(), bounds.drainMs()), RETRY_FRACTION)));
  }

  /** Returns the age of the configuration from which on a host reads it itself. */
  long configurationMaxAgeMs() {
    return part(applyMs(), MAX_AGE_FRACTION);
  }

  /** Returns the age of the list of endpoints from which on a host reads it itself. */
  long endpointsMaxAgeMs() {
    return part(bounds.drainMs(), MAX_AGE_FRACTION);
  }

  /** Returns the age of the configuration from which on a host asks any peers for it. */
  long configurationPeersAgeMs() {
    return part(applyMs(), PEERS_FRACTION) + lateMs;
  }

  /** Returns the age of the list of endpoints from which on a host asks any peers for it. */
  long endpointsPeersAgeMs() {
    return part(bounds.drainMs(), PEERS_FRACTION) + lateMs;
  }

  /** Returns the interval of queries to any peers, in milliseconds. */
  long peersQueryMs() {
    return part(Math.min(applyMs(), bounds.drainMs()), PEERS_QUERY_FRACTION) + lateMs;
  }

  /** Returns the interval of queries to the zone leader, in milliseconds. */
  long queryMs() {
    return part(Math.min(applyMs(), bounds.drainMs()), QUERY_FRACTION);
  }
}
