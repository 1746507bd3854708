// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport;

import io.vertx.core.http.HttpMethod;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.fawndrum.coordination.SweepRule;
import org.fawndrum.coordination.membership.PeerView;
import org.fawndrum.coordination.membership.ZoneDuties;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.internal.log.LogEvent;
import org.fawndrum.protocol.EngineMessages.Holding;
import org.fawndrum.protocol.EngineMessages.Holdings;
import org.fawndrum.protocol.EngineMessages.Sweep;
import org.fawndrum.protocol.EngineMessages.Swept;
import org.fawndrum.protocol.Json;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.EndpointKind;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.HostListing;

/**
 * Frees what daemons that are gone left on the engines of the zone. Each engine is looked after by
 * one daemon of its zone; when two do for a while, the second finds nothing to free.
 */
final class MemorySweep {
  private final HostIdentity self;
  private final String zone;
  private final EngineCalls engines;
  private final Supplier<HostListing> listing;
  private final Supplier<List<PeerView>> peers;
  private final HostClock clock;
  private final HostLog log;
  private final SweepRule rule = new SweepRule();

  MemorySweep(
      HostIdentity self,
      String zone,
      EngineCalls engines,
      Supplier<HostListing> listing,
      Supplier<List<PeerView>> peers,
      HostClock clock,
      HostLog log) {
    this.self = self;
    this.zone = zone;
    this.engines = engines;
    this.listing = listing;
    this.peers = peers;
    this.clock = clock;
    this.log = log;
  }

  /** Looks once at all engines that are this host's to look after. */
  void look() {
    List<String> others =
        peers.get().stream()
            .filter(peer -> peer.alive() && peer.facts().zone().equals(zone))
            .map(peer -> peer.facts().identity().host())
            .toList();
    Map<Endpoint, CompletableFuture<Holdings>> asked = new HashMap<>();
    for (Endpoint endpoint : listing.get().endpoints()) {
      boolean mine =
          endpoint.kind() == EndpointKind.MODEL
              && endpoint.zone().equals(zone)
              && ZoneDuties.mine(endpoint.name(), self.host(), others);
      if (mine) {
        asked.put(
            endpoint, engines.read(endpoint, HttpMethod.GET, "/v1/holdings", "", Holdings.class));
      }
    }
    List<CompletableFuture<?>> settled = new ArrayList<>();
    asked.values().forEach(one -> settled.add(one.handle((holdings, failure) -> null)));
    CompletableFuture.allOf(settled.toArray(CompletableFuture[]::new)).thenRun(() -> decide(asked));
  }

  private synchronized void decide(Map<Endpoint, CompletableFuture<Holdings>> asked) {
    Map<Endpoint, Set<HostIdentity>> owners = new HashMap<>();
    Set<HostIdentity> all = new HashSet<>();
    asked.forEach(
        (endpoint, answer) -> {
          if (answer.isCompletedExceptionally()) {
            return;
          }
          Set<HostIdentity> here = new HashSet<>();
          for (Holding holding : answer.join().holdings()) {
            here.add(new HostIdentity(holding.ownerHost(), holding.ownerIncarnation()));
          }
          owners.put(endpoint, here);
          all.addAll(here);
        });
    Set<HostIdentity> sweepable =
        new HashSet<>(rule.sweepable(all, new KnownHosts(), clock.nowMs()));
    owners.forEach(
        (endpoint, here) ->
            here.stream().filter(sweepable::contains).forEach(owner -> sweep(endpoint, owner)));
  }

  private void sweep(Endpoint endpoint, HostIdentity owner) {
    String body = Json.write(new Sweep(owner.host(), owner.incarnation()));
    engines
        .read(endpoint, HttpMethod.POST, "/v1/sweep", body, Swept.class)
        .thenAccept(
            swept ->
                log.event(
                    LogEvent.SWEPT, endpoint.name(), Integer.toString(swept.streams()), owner));
  }

  /** What this host knows of the others. */
  private final class KnownHosts implements SweepRule.Known {
    private final Map<String, PeerView> byName = new HashMap<>();
    private final Set<String> listed = new HashSet<>();

    KnownHosts() {
      peers.get().forEach(peer -> byName.put(peer.facts().identity().host(), peer));
      listing.get().entryHosts().forEach(host -> listed.add(host.name()));
    }

    @Override
    public boolean replaced(HostIdentity owner) {
      if (owner.host().equals(self.host())) {
        return owner.incarnation() < self.incarnation();
      }
      PeerView peer = byName.get(owner.host());
      return peer != null && peer.facts().identity().incarnation() > owner.incarnation();
    }

    @Override
    public boolean listed(HostIdentity owner) {
      // An unread list proves nothing about anybody.
      return listed.isEmpty() || listed.contains(owner.host());
    }

    @Override
    public boolean alive(HostIdentity owner) {
      PeerView peer = byName.get(owner.host());
      return owner.equals(self)
          || peer != null && peer.alive() && peer.facts().identity().equals(owner);
    }
  }
}
