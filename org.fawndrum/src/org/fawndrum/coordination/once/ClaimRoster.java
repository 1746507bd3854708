// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.once;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;

/**
 * The host incarnations that may run calls which may not be repeated, as the log registers them.
 * Every host replays the same registrations, so a host that has read the log to its end knows
 * everybody who could have run a call before. Confined to one thread.
 */
public final class ClaimRoster {
  private static final int RETIRED_KEPT = 4_096;

  private final HostIdentity self;
  private final Map<HostIdentity, Member> members = new HashMap<>();
  private final Map<String, Long> newest = new HashMap<>();
  private final Set<HostIdentity> retired = new LinkedHashSet<>();

  /**
   * A registered incarnation; {@code goneMs} is when it was seen to be gone, -1 while it is not.
   */
  private static final class Member {
    final HostAddress address;
    long goneMs = -1;

    Member(HostAddress address) {
      this.address = address;
    }
  }

  /** A host to ask. */
  public record Asked(HostIdentity identity, HostAddress address) {}

  /** Makes a roster without members. */
  public ClaimRoster(HostIdentity self) {
    this.self = self;
  }

  /** Takes a registration from the log. An earlier incarnation of the same host is then gone. */
  public void registered(HostIdentity identity, HostAddress address, long nowMs) {
    // An old snapshot may still name a host that retired since.
    if (retired.contains(identity)) {
      return;
    }
    members.putIfAbsent(identity, new Member(address));
    long latest =
        Math.max(newest.getOrDefault(identity.host(), Long.MIN_VALUE), identity.incarnation());
    newest.put(identity.host(), latest);
    members.forEach(
        (one, member) -> {
          boolean replaced = one.host().equals(identity.host()) && one.incarnation() < latest;
          if (replaced && member.goneMs < 0) {
            member.goneMs = nowMs;
          }
        });
  }

  /** Takes note that an incarnation handed its keys over and runs nothing any more. */
  public void retired(HostIdentity identity) {
    members.remove(identity);
    retired.add(identity);
    if (retired.size() > RETIRED_KEPT) {
      retired.remove(retired.iterator().next());
    }
  }

  /**
   * Takes note that a host is neither listed by the platform nor heard of. After the time for which
   * keys are remembered it is not asked any more.
   */
  public void lost(HostIdentity identity, long nowMs) {
    Member member = members.get(identity);
    if (member != null && member.goneMs < 0) {
      member.goneMs = nowMs;
    }
  }

  /** Takes note that an incarnation was heard of, so that it is not gone. */
  public void heard(HostIdentity identity) {
    Member member = members.get(identity);
    boolean replaced =
        identity.incarnation() < newest.getOrDefault(identity.host(), Long.MIN_VALUE);
    if (member != null && !replaced) {
      member.goneMs = -1;
    }
  }

  /** Tells whether this incarnation is registered itself. */
  public boolean selfRegistered() {
    return members.containsKey(self);
  }

  /**
   * Tells whether somebody who is gone may have run calls that a caller could still send again, so
   * that asking the others proves nothing.
   */
  public boolean proofImpossible(long nowMs) {
    forgetLongGone(nowMs);
    return members.values().stream().anyMatch(member -> member.goneMs >= 0);
  }

  private void forgetLongGone(long nowMs) {
    members
        .values()
        .removeIf(member -> member.goneMs >= 0 && nowMs - member.goneMs > OnceLedger.KEPT_MS);
  }

  /** Returns everybody else who must answer before a call may run here. */
  public List<Asked> others() {
    List<Asked> others = new ArrayList<>();
    members.forEach(
        (identity, member) -> {
          if (!identity.equals(self) && member.goneMs < 0) {
            others.add(new Asked(identity, member.address));
          }
        });
    return others;
  }
}
