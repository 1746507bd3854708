// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.state;

import java.util.List;
import java.util.Set;

/**
 * One version of the platform's host list, which lags behind the actual state. Immutable.
 *
 * @param version rises with each change of the list; an older version never replaces a newer one
 * @param endpoints all listed endpoints, draining ones included
 * @param drainingEndpoints the identities of the draining endpoints
 * @param entryHosts the listed entry hosts
 */
public record HostListing(
    long version,
    List<Endpoint> endpoints,
    Set<HostIdentity> drainingEndpoints,
    List<EntryHost> entryHosts) {
  /** Empty listing, in use until the first one is read. */
  public static final HostListing NONE = new HostListing(-1, List.of(), Set.of(), List.of());

  /** Makes defensive copies of the collections. */
  public HostListing {
    endpoints = List.copyOf(endpoints);
    drainingEndpoints = Set.copyOf(drainingEndpoints);
    entryHosts = List.copyOf(entryHosts);
  }
}
