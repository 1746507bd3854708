// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.List;

/**
 * Decides without coordination which host appends the next snapshot. Hosts are ranked in rotation
 * by name; if the first does not append one, the next does after a delay. Two hosts with different
 * lists may both append a snapshot, which only costs space.
 */
public final class SnapshotSchedule {
  /** Number of records after which a snapshot is due. */
  public static final long RECORDS_PER_SNAPSHOT = 500;

  /** Additional records for each rank. */
  public static final long RECORDS_PER_RANK = 25;

  /** Age at which a snapshot is due if there were any records since, in milliseconds. */
  public static final long MAX_AGE_MS = 600_000;

  /** Additional age for each rank, in milliseconds. */
  public static final long AGE_PER_RANK_MS = 30_000;

  private SnapshotSchedule() {}

  /**
   * Returns a host's rank, 0 for the first.
   *
   * @param host the host's name
   * @param hosts the names of all hosts, sorted
   * @param lastSnapshot the position of the newest snapshot, -1 for none; rotates the ranks
   */
  public static int rank(String host, List<String> hosts, long lastSnapshot) {
    int index = Math.max(0, hosts.indexOf(host));
    int firstIndex = (int) Math.floorMod(lastSnapshot + 1, (long) Math.max(1, hosts.size()));
    return Math.floorMod(index - firstIndex, Math.max(1, hosts.size()));
  }

  /** Whether a host of the given rank should append a snapshot now. */
  public static boolean isDue(long recordsSince, long ageMs, int rank) {
    boolean hasMany = recordsSince >= RECORDS_PER_SNAPSHOT + rank * RECORDS_PER_RANK;
    boolean isOld = recordsSince > 0 && ageMs >= MAX_AGE_MS + rank * AGE_PER_RANK_MS;
    return hasMany || isOld;
  }
}
