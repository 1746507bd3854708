// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.membership;

import java.util.Collection;

/**
 * Shares duties out among the living daemons of a zone without a vote, by highest random weight:
 * when a daemon comes or goes, only its own duties move. Two daemons with different views may both
 * do a duty for a while, so that duties must be harmless when done twice.
 */
public final class ZoneDuties {
  private static final long MIX_ONE = 0xbf58476d1ce4e5b9L;
  private static final long MIX_TWO = 0x94d049bb133111ebL;

  private ZoneDuties() {}

  /**
   * Tells whether a duty is a host's own.
   *
   * @param duty the duty's name, such as an endpoint's
   * @param self the host
   * @param others the other living daemons of the zone
   */
  public static boolean mine(String duty, String self, Collection<String> others) {
    long own = weight(duty, self);
    for (String other : others) {
      long weight = weight(duty, other);
      if (weight > own || weight == own && other.compareTo(self) < 0) {
        return false;
      }
    }
    return true;
  }

  /** Mixes both names as the finalizer of SplitMix64 does. */
  private static long weight(String duty, String host) {
    long mixed = duty.hashCode() * 31L * 0x9e3779b97f4a7c15L + host.hashCode();
    mixed = (mixed ^ mixed >>> 30) * MIX_ONE;
    mixed = (mixed ^ mixed >>> 27) * MIX_TWO;
    return mixed ^ mixed >>> 31;
  }
}
