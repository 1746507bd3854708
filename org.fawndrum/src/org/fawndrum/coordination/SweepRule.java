// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fawndrum.state.HostIdentity;

/**
 * Decides when what a daemon left on an engine may be freed: only after its owner has been gone
 * without a break for a time that outlasts every pause of a slow owner and the lag of the host
 * list. Confined to one thread; reads no clock.
 */
public final class SweepRule {
  /** How long an owner must be gone without a break, in milliseconds. */
  public static final long GONE_MS = 120_000;

  private final Map<HostIdentity, Long> goneSinceMs = new HashMap<>();

  /** What is known of the daemons. */
  public interface Known {
    /** Tells whether a newer incarnation of the owner's host was heard of. */
    boolean replaced(HostIdentity owner);

    /** Tells whether the platform lists the owner's host. */
    boolean listed(HostIdentity owner);

    /** Tells whether the owner was heard of lately. */
    boolean alive(HostIdentity owner);
  }

  /**
   * Looks at the owners that engines name, all of them at once, and returns those whose streams may
   * be freed.
   */
  public List<HostIdentity> sweepable(Set<HostIdentity> owners, Known known, long nowMs) {
    goneSinceMs.keySet().retainAll(owners);
    List<HostIdentity> sweepable = new ArrayList<>();
    for (HostIdentity owner : new HashSet<>(owners)) {
      boolean gone = known.replaced(owner) || !known.listed(owner) && !known.alive(owner);
      if (!gone) {
        goneSinceMs.remove(owner);
        continue;
      }
      long sinceMs = goneSinceMs.computeIfAbsent(owner, one -> nowMs);
      if (nowMs - sinceMs >= GONE_MS) {
        sweepable.add(owner);
      }
    }
    return sweepable;
  }
}
