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
import org.fawndrum.coordination.membership.ZoneTasks;
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
 * Frees streams and memory that terminated daemons left on the engines of the zone. Each engine is
 * swept by one daemon of its zone; if two sweep it for a while, the second finds nothing to free.
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

  /**
   * Reads the holdings of all engines assigned to this host and frees those of terminated owners.
   */
  void sweepEngines() {
    List<String> others =
        peers.get().stream()
            .filter(peer -> peer.alive() && peer.facts().zone().equals(zone))
            .map(peer -> peer.facts().identity().host())
            .toList();
    Map<Endpoint, CompletableFuture<Holdings>> holdingsByEndpoint = new HashMap<>();
    for (Endpoint endpoint : listing.get().endpoints()) {
      boolean assigned =
          endpoint.kind() == EndpointKind.MODEL
              && endpoint.zone().equals(zone)
              && ZoneTasks.isOwner(endpoint.name(), self.host(), others);
      if (assigned) {
        holdingsByEndpoint.put(
            endpoint, engines.read(endpoint, HttpMethod.GET, "/v1/holdings", "", Holdings.class));
      }
    }
    List<CompletableFuture<?>> finished = new ArrayList<>();
    holdingsByEndpoint
        .values()
        .forEach(future -> finished.add(future.handle((holdings, failure) -> null)));
    CompletableFuture.allOf(finished.toArray(CompletableFuture[]::new))
        .thenRun(() -> sweepOrphans(holdingsByEndpoint));
  }

  private synchronized void sweepOrphans(
      Map<Endpoint, CompletableFuture<Holdings>> holdingsByEndpoint) {
    Map<Endpoint, Set<HostIdentity>> owners = new HashMap<>();
    Set<HostIdentity> allOwners = new HashSet<>();
    holdingsByEndpoint.forEach(
        (endpoint, answer) -> {
          if (answer.isCompletedExceptionally()) {
            return;
          }
          Set<HostIdentity> endpointOwners = new HashSet<>();
          for (Holding holding : answer.join().holdings()) {
            endpointOwners.add(new HostIdentity(holding.ownerHost(), holding.ownerIncarnation()));
          }
          owners.put(endpoint, endpointOwners);
          allOwners.addAll(endpointOwners);
        });
    Set<HostIdentity> sweepable =
        new HashSet<>(rule.sweepable(allOwners, new KnownHosts(), clock.nowMs()));
    owners.forEach(
        (endpoint, endpointOwners) ->
            endpointOwners.stream()
                .filter(sweepable::contains)
                .forEach(owner -> sweep(endpoint, owner)));
  }

  private void sweep(Endpoint endpoint, HostIdentity owner) {
    String body = Json.write(new Sweep(owner.host(), owner.incarnation()));
    engines
        .read(endpoint, HttpMethod.POST, "/v1/sweep", body, Swept.class)
        .thenAccept(
            swept ->
                log.event(
                    LogEvent.STREAMS_SWEPT,
                    endpoint.name(),
                    Integer.toString(swept.streams()),
                    owner));
  }

  /** The host list and the peer views of this host, as input of the {@link SweepRule}. */
  private final class KnownHosts implements SweepRule.OwnerStatus {
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
      // An empty list was not read yet and proves nothing.
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
