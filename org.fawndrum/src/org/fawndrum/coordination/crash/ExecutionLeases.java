// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination.crash;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fawndrum.state.HostIdentity;

/**
 * Allows one copy of a suspected request to run at a time over all hosts, so that each crash under
 * it is known before another endpoint is put at risk. A host announces that it sends the request
 * next, waits until the others have received the announcement, and sends. If two hosts announce at
 * the same time, the one with the lower name takes precedence. A lease ends with a crash under the
 * request, an answer, or its expiry, so a host that is gone does not block others for long.
 *
 * <p>Confined to one thread; times are those of the host's clock, in milliseconds.
 */
final class ExecutionLeases {
  /**
   * Time until all other hosts have received a lease; updates take 10 to 50 ms through the zone
   * leaders.
   */
  static final long PROPAGATION_MS = 100;

  /** Maximum duration of a lease; a request that crashes endpoints does so within this time. */
  static final long LEASE_MS = 2_000;

  /** Maximum number of leases kept. */
  private static final int MAX_LEASES = 256;

  private final HostIdentity self;
  private final Map<RequestFingerprint, ExecutionLease> leases = new LinkedHashMap<>();
  private final Set<ExecutionLease> acquired = new HashSet<>();

  ExecutionLeases(HostIdentity self) {
    this.self = self;
  }

  /** Requests a lease for this host; returns it, or null if there is a current lease. */
  ExecutionLease request(RequestFingerprint request, long nowMs) {
    if (currentLease(request, nowMs) != null) {
      return null;
    }
    ExecutionLease lease = new ExecutionLease(request, self, nowMs);
    put(lease);
    return lease;
  }

  /**
   * Acquires this host's lease once the others have received it; empty before that, or if it is
   * already acquired.
   */
  Optional<ExecutionLease> acquire(RequestFingerprint request, long nowMs) {
    ExecutionLease lease = currentLease(request, nowMs);
    boolean isOwn =
        lease != null && lease.host().equals(self) && nowMs - lease.atMs() >= PROPAGATION_MS;
    return isOwn && acquired.add(lease) ? Optional.of(lease) : Optional.empty();
  }

  /** Returns whether an acquired lease is still valid. */
  boolean isValid(ExecutionLease lease, long nowMs) {
    return lease.equals(currentLease(lease.request(), nowMs));
  }

  /** Releases an acquired lease: its attempt completed, and no endpoint crashed under it. */
  void release(ExecutionLease lease) {
    if (lease.equals(leases.get(lease.request()))) {
      forget(lease.request());
    }
  }

  /**
   * Ends the lease of a request if it began at or before a time, because a result of the request is
   * known from that time.
   */
  void endStartedBefore(RequestFingerprint request, long atMs) {
    ExecutionLease lease = leases.get(request);
    if (lease != null && lease.atMs() <= atMs) {
      forget(request);
    }
  }

  private void forget(RequestFingerprint request) {
    acquired.remove(leases.remove(request));
  }

  /** Merges another host's lease; returns whether it takes precedence over the current one. */
  boolean merge(ExecutionLease received, long nowMs) {
    ExecutionLease current = currentLease(received.request(), nowMs);
    boolean expired = nowMs - received.atMs() > LEASE_MS;
    if (expired || current != null && !hasPrecedence(received, current)) {
      return false;
    }
    put(received);
    return true;
  }

  private static boolean hasPrecedence(ExecutionLease received, ExecutionLease current) {
    if (received.host().equals(current.host())) {
      return received.atMs() > current.atMs() + PROPAGATION_MS;
    }
    boolean simultaneous = Math.abs(received.atMs() - current.atMs()) <= PROPAGATION_MS;
    return simultaneous
        ? received.host().host().compareTo(current.host().host()) < 0
        : received.atMs() < current.atMs();
  }

  private ExecutionLease currentLease(RequestFingerprint request, long nowMs) {
    ExecutionLease lease = leases.get(request);
    return lease == null || nowMs - lease.atMs() > LEASE_MS ? null : lease;
  }

  private void put(ExecutionLease lease) {
    forget(lease.request());
    leases.put(lease.request(), lease);
    if (leases.size() > MAX_LEASES) {
      forget(leases.keySet().iterator().next());
    }
  }
}
