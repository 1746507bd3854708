// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

import java.util.List;
import java.util.Set;

/**
 * One reading of the platform's list of hosts, which lags behind reality.
 *
 * @param version grows with each change of the list; an older version is never taken over a newer
 * @param endpoints all endpoints listed, leaving ones included
 * @param leaving the identities that are listed as leaving
 * @param entryHosts the entry hosts listed
 */
public record HostListing(
    long version, List<Endpoint> endpoints, Set<HostIdentity> leaving, List<EntryHost> entryHosts) {
  /** The listing before any was read. */
  public static final HostListing NONE = new HostListing(-1, List.of(), Set.of(), List.of());

  /** Copies the collections, so that the listing cannot change. */
  public HostListing {
    endpoints = List.copyOf(endpoints);
    leaving = Set.copyOf(leaving);
    entryHosts = List.copyOf(entryHosts);
  }
}
