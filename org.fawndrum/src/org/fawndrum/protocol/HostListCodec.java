// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.protocol;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.fawndrum.protocol.PlatformMessages.HostList;
import org.fawndrum.protocol.PlatformMessages.ListedHost;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.EndpointKind;
import org.fawndrum.state.EntryHost;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.HostListing;

/** Turns the platform's list of hosts into the system's own form. */
public final class HostListCodec {
  /** The role of an entry host. */
  public static final String ENTRY = "entry";

  /** The role of a model engine. */
  public static final String MODEL = "model";

  /** The role of a plain service. */
  public static final String PLAIN = "plain";

  private HostListCodec() {}

  /**
   * Returns the listing; hosts of a role that this version does not know are left out. A list
   * without hosts says that nothing changed since its version, and must not be taken over.
   */
  public static HostListing decode(HostList list) {
    if (list.hosts() == null) {
      return new HostListing(list.version(), List.of(), Set.of(), List.of());
    }
    List<Endpoint> endpoints = new ArrayList<>();
    Set<HostIdentity> leaving = new HashSet<>();
    List<EntryHost> entryHosts = new ArrayList<>();
    for (ListedHost host : list.hosts()) {
      HostAddress address = new HostAddress(host.ip(), host.port());
      if (ENTRY.equals(host.role())) {
        entryHosts.add(new EntryHost(host.name(), host.zone(), address));
        continue;
      }
      boolean known = MODEL.equals(host.role()) || PLAIN.equals(host.role());
      if (!known) {
        continue;
      }
      HostIdentity identity = new HostIdentity(host.name(), host.incarnation());
      EndpointKind kind = MODEL.equals(host.role()) ? EndpointKind.MODEL : EndpointKind.PLAIN;
      Set<String> serves = host.serves() == null ? Set.of() : Set.copyOf(host.serves());
      endpoints.add(
          new Endpoint(identity, host.zone(), kind, address, serves, host.memoryTokens()));
      if (host.leaving()) {
        leaving.add(identity);
      }
    }
    return new HostListing(list.version(), endpoints, leaving, entryHosts);
  }

  /** Returns a listing in the platform's form, so that a daemon can hand it to another. */
  public static HostList encode(HostListing listing) {
    List<ListedHost> hosts = new ArrayList<>();
    for (EntryHost host : listing.entryHosts()) {
      HostAddress address = host.peerAddress();
      hosts.add(
          new ListedHost(
              host.name(), 0, host.zone(), ENTRY, address.ip(), address.port(), null, 0, false));
    }
    for (Endpoint endpoint : listing.endpoints()) {
      hosts.add(
          new ListedHost(
              endpoint.name(),
              endpoint.incarnation(),
              endpoint.zone(),
              endpoint.kind() == EndpointKind.MODEL ? MODEL : PLAIN,
              endpoint.address().ip(),
              endpoint.address().port(),
              endpoint.serves().stream().sorted().toList(),
              endpoint.memoryTokens(),
              listing.leaving().contains(endpoint.identity())));
    }
    return new HostList(listing.version(), hosts);
  }
}
