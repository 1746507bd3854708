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

/** Converts the platform's host list from and to the internal representation. */
public final class HostListCodec {
  /** Role of an entry host. */
  public static final String ENTRY = "entry";

  /** Role of a model engine. */
  public static final String MODEL = "model";

  /** Role of a plain service. */
  public static final String PLAIN = "plain";

  private HostListCodec() {}

  /**
   * Decodes a host list; hosts with an unknown role are skipped. A list without hosts means that
   * nothing changed since its version; the caller must not use the empty result.
   */
  public static HostListing decode(HostList list) {
    if (list.hosts() == null) {
      return new HostListing(list.version(), List.of(), Set.of(), List.of());
    }
    List<Endpoint> endpoints = new ArrayList<>();
    Set<HostIdentity> draining = new HashSet<>();
    List<EntryHost> entryHosts = new ArrayList<>();
    for (ListedHost host : list.hosts()) {
      HostAddress address = new HostAddress(host.ip(), host.port());
      if (ENTRY.equals(host.role())) {
        entryHosts.add(new EntryHost(host.name(), host.zone(), address));
        continue;
      }
      boolean knownRole = MODEL.equals(host.role()) || PLAIN.equals(host.role());
      if (!knownRole) {
        continue;
      }
      HostIdentity identity = new HostIdentity(host.name(), host.incarnation());
      EndpointKind kind = MODEL.equals(host.role()) ? EndpointKind.MODEL : EndpointKind.PLAIN;
      Set<String> serves = host.serves() == null ? Set.of() : Set.copyOf(host.serves());
      endpoints.add(
          new Endpoint(identity, host.zone(), kind, address, serves, host.memoryTokens()));
      if (host.leaving()) {
        draining.add(identity);
      }
    }
    return new HostListing(list.version(), endpoints, draining, entryHosts);
  }

  /** Encodes a listing in the platform's format, for transfer between daemons. */
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
              listing.drainingEndpoints().contains(endpoint.identity())));
    }
    return new HostList(listing.version(), hosts);
  }
}
