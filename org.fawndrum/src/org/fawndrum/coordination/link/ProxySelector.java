// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.link;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fawndrum.coordination.membership.FleetMember;
import org.fawndrum.state.HostIdentity;

/**
 * Selects the other host that proxies a request: the one with the fewest of this host's requests,
 * so that the work of a host without links is spread over all that have some; of those, one in this
 * host's availability zone, and of those one that differs from host to host. A host that could not
 * help is passed over for a time. Thread-safe; times are those of the host's clock, in
 * milliseconds.
 */
public final class ProxySelector {
  /** How long a host is passed over that said that it cannot help. */
  private static final long REST_MS = 1_000;

  /**
   * How long a host is passed over that did not answer in time; it may only be busy. Twice as long
   * after each further time in a row: each request asked of a suspended host loses its permit while
   * it waits, and other hosts suspect that one after seconds only.
   */
  private static final long SILENT_REST_MS = 200;

  /** How long such a host is passed over at most: it may be the only one with links. */
  private static final long MAX_SILENT_REST_MS = 800;

  /** An odd number with evenly spread bits: 2^32 divided by the golden ratio. */
  private static final int HASH_FACTOR = 0x9E3779B1;

  private static final int HASH_ROTATION = 15;

  private final String self;
  private final String zone;
  private final Map<HostIdentity, Integer> inUse = new HashMap<>();
  private final Map<HostIdentity, Long> restUntilMs = new HashMap<>();

  /** How long each host was passed over that has not answered since, in milliseconds. */
  private final Map<HostIdentity, Long> silentRestMs = new HashMap<>();

  /**
   * Creates a selector.
   *
   * @param self the name of this host
   * @param zone its availability zone
   */
  public ProxySelector(String self, String zone) {
    this.self = self;
    this.zone = zone;
  }

  /**
   * Returns the host to ask, and counts a request there until {@link #released}; empty if none can
   * be expected to help. A host that did not answer is tried by one request at a time, unless no
   * other can be asked. If all were passed over, one is asked as the only one for this request: one
   * that did not answer, since it may only be busy, and else the one that is passed over for the
   * shortest time.
   *
   * @param live the live hosts
   * @param asked hosts that were asked for this request before
   */
  public synchronized Optional<FleetMember> take(
      Collection<FleetMember> live, Set<HostIdentity> asked, long nowMs) {
    restUntilMs.values().removeIf(untilMs -> nowMs >= untilMs);
    silentRestMs.keySet().removeIf(host -> live.stream().noneMatch(m -> m.identity().equals(host)));
    List<FleetMember> eligible =
        live.stream()
            .filter(member -> member.proxyPort() > 0)
            .filter(member -> !asked.contains(member.identity()))
            .toList();
    Optional<FleetMember> chosen =
        eligible.stream()
            .filter(member -> !restUntilMs.containsKey(member.identity()))
            .min(
                Comparator.comparing((FleetMember member) -> isBeingTried(member.identity()))
                    .thenComparingInt(member -> inUse.getOrDefault(member.identity(), 0))
                    .thenComparing(member -> !member.zone().equals(zone))
                    .thenComparingInt(member -> order(member.identity().host())));
    if (chosen.isEmpty() && asked.isEmpty()) {
      chosen =
          eligible.stream()
              .min(
                  Comparator.comparing((FleetMember m) -> !silentRestMs.containsKey(m.identity()))
                      .thenComparingLong(m -> restUntilMs.get(m.identity())));
    }
    chosen.ifPresent(member -> inUse.merge(member.identity(), 1, Integer::sum));
    return chosen;
  }

  /** Whether a host has not answered for a time, and a request has been sent there since. */
  private boolean isBeingTried(HostIdentity host) {
    return silentRestMs.containsKey(host) && inUse.containsKey(host);
  }

  /** Returns the place of a host in this host's own order of all hosts. */
  private int order(String host) {
    // The multiplication spreads names that differ only in their last digits.
    return Integer.rotateLeft((self + host).hashCode() * HASH_FACTOR, HASH_ROTATION) * HASH_FACTOR;
  }

  /** Records that a request at a host has ended. */
  public synchronized void released(HostIdentity host) {
    inUse.computeIfPresent(host, (identity, count) -> count > 1 ? count - 1 : null);
  }

  /**
   * Records that a host could not help.
   *
   * @param answered whether it said so, rather than nothing in time
   */
  public synchronized void failed(HostIdentity host, boolean answered, long nowMs) {
    if (answered) {
      answered(host);
      restUntilMs.put(host, nowMs + REST_MS);
      return;
    }
    long restMs =
        silentRestMs.merge(
            host, SILENT_REST_MS, (last, first) -> Math.min(2 * last, MAX_SILENT_REST_MS));
    restUntilMs.put(host, nowMs + restMs);
  }

  /** Records that a host answered, whether or not it could help. */
  public synchronized void answered(HostIdentity host) {
    silentRestMs.remove(host);
  }
}
