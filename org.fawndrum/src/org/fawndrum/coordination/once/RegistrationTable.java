// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.once;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.fawndrum.state.HostIdentity;

/**
 * All registrations of the log that are still relevant, for snapshots: every host that may have run
 * a call that a caller could still repeat. Confined to one thread.
 */
public final class RegistrationTable {
  private final Map<HostIdentity, Entry> entries = new LinkedHashMap<>();

  /** A registration, and when it was replaced by a newer one of its host; -1 while it is not. */
  private static final class Entry {
    final Registration registration;
    long replacedMs = -1;

    Entry(Registration registration) {
      this.registration = registration;
    }
  }

  /** Adds a registration in the order of the log. */
  public void add(Registration registration, long nowMs) {
    if (registration.retired()) {
      entries.remove(registration.identity());
      return;
    }
    for (Entry entry : entries.values()) {
      HostIdentity other = entry.registration.identity();
      boolean sameHost = other.host().equals(registration.identity().host());
      boolean older = other.incarnation() < registration.identity().incarnation();
      if (sameHost && older && entry.replacedMs < 0) {
        entry.replacedMs = nowMs;
      }
    }
    entries.putIfAbsent(registration.identity(), new Entry(registration));
  }

  /** Returns the registrations to be included in a snapshot now. */
  public List<Registration> members(long nowMs) {
    entries
        .values()
        .removeIf(
            entry -> entry.replacedMs >= 0 && nowMs - entry.replacedMs > CallRegistry.RETENTION_MS);
    List<Registration> members = new ArrayList<>();
    entries.values().forEach(entry -> members.add(entry.registration));
    return members;
  }
}
