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
 * Decides when the streams that a daemon left on an engine may be released. Its owner must have
 * been gone without interruption for longer than any pause of a slow owner and the lag of the host
 * list. Confined to one thread; does not read a clock.
 */
public final class SweepRule {
  /** How long an owner must be gone without interruption, in milliseconds. */
  public static final long MIN_ABSENCE_MS = 120_000;

  private final Map<HostIdentity, Long> absentSinceMs = new HashMap<>();

  /** Liveness of daemons. */
  public interface OwnerStatus {
    /** Whether a newer incarnation of the owner's host is known. */
    boolean replaced(HostIdentity owner);

    /** Whether the platform lists the owner's host. */
    boolean listed(HostIdentity owner);

    /** Whether a message of the owner was received recently. */
    boolean alive(HostIdentity owner);
  }

  /**
   * Returns the owners whose streams may be released. Must be called with all owners that engines
   * report, since the absence times of others are dropped.
   */
  public List<HostIdentity> sweepable(Set<HostIdentity> owners, OwnerStatus status, long nowMs) {
    absentSinceMs.keySet().retainAll(owners);
    List<HostIdentity> sweepable = new ArrayList<>();
    for (HostIdentity owner : new HashSet<>(owners)) {
      boolean gone = status.replaced(owner) || !status.listed(owner) && !status.alive(owner);
      if (!gone) {
        absentSinceMs.remove(owner);
        continue;
      }
      long sinceMs = absentSinceMs.computeIfAbsent(owner, key -> nowMs);
      if (nowMs - sinceMs >= MIN_ABSENCE_MS) {
        sweepable.add(owner);
      }
    }
    return sweepable;
  }
}
