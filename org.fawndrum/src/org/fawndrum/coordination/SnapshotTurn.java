// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.List;

/**
 * Decides without a vote which host appends the next snapshot: hosts take turns in the order of
 * their names, and one whose turn passes unused is followed by the next. Two hosts with different
 * lists may both append one, which costs space and nothing else.
 */
public final class SnapshotTurn {
  /** Records after which a snapshot is due. */
  public static final long RECORDS = 500;

  /** Records that the next host in turn waits longer. */
  public static final long RECORDS_PER_RANK = 25;

  /** Time after which a snapshot is due if there was any record, in milliseconds. */
  public static final long AGE_MS = 600_000;

  /** Time that the next host in turn waits longer, in milliseconds. */
  public static final long AGE_PER_RANK_MS = 30_000;

  private SnapshotTurn() {}

  /**
   * Returns how many hosts come before one.
   *
   * @param host the host's name
   * @param hosts the names of all hosts, sorted
   * @param lastSnapshot the position of the newest snapshot, -1 for none; moves the turns on
   */
  public static int rank(String host, List<String> hosts, long lastSnapshot) {
    int at = Math.max(0, hosts.indexOf(host));
    int first = (int) Math.floorMod(lastSnapshot + 1, (long) Math.max(1, hosts.size()));
    return Math.floorMod(at - first, Math.max(1, hosts.size()));
  }

  /** Tells whether a host of a rank should append a snapshot now. */
  public static boolean due(long recordsSince, long ageMs, int rank) {
    boolean many = recordsSince >= RECORDS + rank * RECORDS_PER_RANK;
    boolean old = recordsSince > 0 && ageMs >= AGE_MS + rank * AGE_PER_RANK_MS;
    return many || old;
  }
}
