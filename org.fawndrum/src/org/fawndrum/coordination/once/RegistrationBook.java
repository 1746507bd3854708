// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.once;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.fawndrum.state.HostIdentity;

/**
 * The registrations of the log in sum, for snapshots: everybody who may have run a call that a
 * caller could still send again. Confined to one thread.
 */
public final class RegistrationBook {
  private final Map<HostIdentity, Kept> kept = new LinkedHashMap<>();

  /** A registration and when it was replaced by a newer one of its host, -1 while it is not. */
  private static final class Kept {
    final Registration registration;
    long replacedMs = -1;

    Kept(Registration registration) {
      this.registration = registration;
    }
  }

  /** Takes a registration in the order of the log. */
  public void add(Registration registration, long nowMs) {
    if (registration.retired()) {
      kept.remove(registration.identity());
      return;
    }
    for (Kept one : kept.values()) {
      HostIdentity other = one.registration.identity();
      boolean sameHost = other.host().equals(registration.identity().host());
      boolean older = other.incarnation() < registration.identity().incarnation();
      if (sameHost && older && one.replacedMs < 0) {
        one.replacedMs = nowMs;
      }
    }
    kept.putIfAbsent(registration.identity(), new Kept(registration));
  }

  /** Returns everybody to be named in a snapshot now. */
  public List<Registration> members(long nowMs) {
    kept.values()
        .removeIf(one -> one.replacedMs >= 0 && nowMs - one.replacedMs > OnceLedger.KEPT_MS);
    List<Registration> members = new ArrayList<>();
    kept.values().forEach(one -> members.add(one.registration));
    return members;
  }
}
