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
 * The host incarnations that may run requests that must not be repeated, as registered in the log.
 * All hosts replay the same registrations, so a host that has replayed the log to its end knows
 * every host that may have run a request before. Confined to one thread.
 */
public final class ClaimMembers {
  private static final int MAX_RETIRED = 4_096;

  private final HostIdentity self;
  private final Map<HostIdentity, Member> members = new HashMap<>();
  private final Map<String, Long> latestIncarnations = new HashMap<>();
  private final Set<HostIdentity> retired = new LinkedHashSet<>();

  /**
   * A registered incarnation; {@code goneMs} is when it was found to be gone, -1 while it is not.
   */
  private static final class Member {
    final HostAddress address;
    long goneMs = -1;

    Member(HostAddress address) {
      this.address = address;
    }
  }

  /** A host to query. */
  public record Target(HostIdentity identity, HostAddress address) {}

  /** Creates the members of a host, without registrations. */
  public ClaimMembers(HostIdentity self) {
    this.self = self;
  }

  /**
   * Adds a registration from the log. Earlier incarnations of the same host count as gone from then
   * on.
   */
  public void register(HostIdentity identity, HostAddress address, long nowMs) {
    // An old snapshot may still contain a host that has retired since.
    if (retired.contains(identity)) {
      return;
    }
    members.putIfAbsent(identity, new Member(address));
    long latest =
        Math.max(
            latestIncarnations.getOrDefault(identity.host(), Long.MIN_VALUE),
            identity.incarnation());
    latestIncarnations.put(identity.host(), latest);
    members.forEach(
        (other, member) -> {
          boolean replaced = other.host().equals(identity.host()) && other.incarnation() < latest;
          if (replaced && member.goneMs < 0) {
            member.goneMs = nowMs;
          }
        });
  }

  /** Removes an incarnation that handed its keys over and no longer runs calls. */
  public void retire(HostIdentity identity) {
    members.remove(identity);
    retired.add(identity);
    if (retired.size() > MAX_RETIRED) {
      retired.remove(retired.iterator().next());
    }
  }

  /**
   * Marks a host as gone, because it is neither listed by the platform nor sends messages. It is
   * not queried any more once the retention time of keys is over.
   */
  public void markLost(HostIdentity identity, long nowMs) {
    Member member = members.get(identity);
    if (member != null && member.goneMs < 0) {
      member.goneMs = nowMs;
    }
  }

  /** Marks an incarnation as not gone, because a message of it was received. */
  public void markAlive(HostIdentity identity) {
    Member member = members.get(identity);
    boolean replaced =
        identity.incarnation() < latestIncarnations.getOrDefault(identity.host(), Long.MIN_VALUE);
    if (member != null && !replaced) {
      member.goneMs = -1;
    }
  }

  /** Returns whether this incarnation itself is registered. */
  public boolean isSelfRegistered() {
    return members.containsKey(self);
  }

  /**
   * Returns whether a host that is gone may have run calls that a caller could still repeat, in
   * which case the answers of the other hosts prove nothing.
   */
  public boolean isProofImpossible(long nowMs) {
    removeExpired(nowMs);
    return members.values().stream().anyMatch(member -> member.goneMs >= 0);
  }

  private void removeExpired(long nowMs) {
    members
        .values()
        .removeIf(
            member -> member.goneMs >= 0 && nowMs - member.goneMs > CallRegistry.RETENTION_MS);
  }

  /** Returns all other hosts that must answer before a call may run here. */
  public List<Target> others() {
    List<Target> others = new ArrayList<>();
    members.forEach(
        (identity, member) -> {
          if (!identity.equals(self) && member.goneMs < 0) {
            others.add(new Target(identity, member.address));
          }
        });
    return others;
  }
}
