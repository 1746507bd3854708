// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.membership;

import java.util.Collection;

/**
 * Assigns tasks to the living daemons of a zone without an election, by rendezvous hashing: when a
 * daemon comes or goes, only its own tasks move. Two daemons with different views may both perform
 * a task for a while, so tasks must be idempotent.
 */
public final class ZoneTasks {
  private static final long MIX_ONE = 0xbf58476d1ce4e5b9L;
  private static final long MIX_TWO = 0x94d049bb133111ebL;

  private ZoneTasks() {}

  /**
   * Returns whether a task is assigned to a host.
   *
   * @param task the task's name, such as that of an endpoint
   * @param self the host
   * @param others the other living daemons of the zone
   */
  public static boolean isOwner(String task, String self, Collection<String> others) {
    return others.stream().noneMatch(other -> precedes(task, other, self));
  }

  /** Returns whether a task is assigned to the first of two hosts rather than to the second. */
  static boolean precedes(String task, String first, String second) {
    long weight = weight(task, first);
    long other = weight(task, second);
    return weight > other || weight == other && first.compareTo(second) < 0;
  }

  /** Hashes both names with the finalizer of SplitMix64. */
  private static long weight(String task, String host) {
    long mixed = task.hashCode() * 31L * 0x9e3779b97f4a7c15L + host.hashCode();
    mixed = (mixed ^ mixed >>> 30) * MIX_ONE;
    mixed = (mixed ^ mixed >>> 27) * MIX_TWO;
    return mixed ^ mixed >>> 31;
  }
}
